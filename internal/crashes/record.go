package crashes

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/metastore"
)

// keySeparator separates fingerprint and server in a record's key.
const keySeparator = "/"

// recordValue is the value of a crash's record.
type recordValue struct {
	// AtMs is when the crash was observed, in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
}

// Encode returns the record of a change at now: its key, made of fingerprint and server, and
// its value, nil for a deletion. Each crash has its own key, so that hosts can write crashes
// without reading first. Records hold wall-clock times, as other hosts read them; within a
// host crashes are compared by the monotonic clock.
func (c Change) Encode(now time.Time) (key string, data []byte, err error) {
	key = string(c.Fingerprint) + keySeparator + c.Server
	if len(key) > metastore.MaxKey {
		return "", nil, eris.Errorf("encode crash of %s: key of %d bytes is too long", c.Server, len(key))
	}
	if c.Deleted {
		return key, nil, nil
	}
	data, err = json.Marshal(recordValue{now.Add(-now.Sub(c.At)).UnixMilli()})
	return key, data, eris.Wrapf(err, "encode crash of %s", c.Server)
}

// Decode decodes a record that is read at now; data is nil if its key was deleted. A time
// after now is read as now.
func Decode(key string, data []byte, now time.Time) (Change, error) {
	fp, server, ok := strings.Cut(key, keySeparator)
	if !ok || len(fp) != 2*fingerprintBytes || server == "" {
		return Change{}, eris.Errorf("decode crash record: invalid key %q", key)
	}
	c := Change{Crash: Crash{Fingerprint: Fingerprint(fp), Server: server}, Deleted: data == nil}
	if c.Deleted {
		return c, nil
	}
	var v recordValue
	if err := json.Unmarshal(data, &v); err != nil {
		return Change{}, eris.Wrapf(err, "decode crash record of %s", server)
	}
	if v.AtMs <= 0 {
		return Change{}, eris.Errorf("decode crash record of %s: no valid at_ms", server)
	}
	age := time.Duration(now.UnixMilli()-v.AtMs) * time.Millisecond
	c.At = now.Add(-max(age, 0)) // the writer's clock may be ahead of this host's
	return c, nil
}
