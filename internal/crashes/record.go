package crashes

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/metastore"
)

// keyMark stands between content and server in a record's key.
const keySeparator = "/"

// recordValue is the value of an end's record.
type recordValue struct {
	// AtMs is when the end was seen, in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
}

// Encode returns the record of a change at the time now: its key, which names
// content and server, and its value; nil for an end to be forgotten. Each end has
// a key of its own, so that hosts that see ends at the same moment need not read
// before they write.
//
// Records tell times of day, as hosts that start later read them too. Only here
// and in Decode are they read: in a host ends are compared by the steady clock.
func (c Change) Encode(now time.Time) (key string, data []byte, err error) {
	key = string(c.Fingerprint) + keySeparator + c.Server
	if len(key) > metastore.MaxKey {
		return "", nil, eris.Errorf("end of %s: key of %d bytes", c.Server, len(key))
	}
	if c.Deleted {
		return key, nil, nil
	}
	data, err = json.Marshal(recordValue{now.Add(-now.Sub(c.At)).UnixMilli()})
	return key, data, eris.Wrapf(err, "end of %s", c.Server)
}

// Decode reads a record at the time now; data is nil if its key was deleted.
func Decode(key string, data []byte, now time.Time) (Change, error) {
	content, server, ok := strings.Cut(key, keySeparator)
	if !ok || len(content) != 2*fingerprintBytes || server == "" {
		return Change{}, eris.Errorf("record of an end: key %q", key)
	}
	c := Change{Crash: Crash{Fingerprint: Fingerprint(content), Server: server}, Deleted: data == nil}
	if c.Deleted {
		return c, nil
	}
	var v recordValue
	if err := json.Unmarshal(data, &v); err != nil {
		return Change{}, eris.Wrapf(err, "record of the end of %s", server)
	}
	if v.AtMs <= 0 {
		return Change{}, eris.Errorf("record of the end of %s: no time", server)
	}
	age := time.Duration(now.UnixMilli()-v.AtMs) * time.Millisecond
	c.At = now.Add(-max(age, 0)) // the writer's clock may be ahead of this host's
	return c, nil
}
