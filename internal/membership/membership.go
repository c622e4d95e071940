package membership

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// Heartbeat is one record of the entryhosts stream, JSON-encoded.
type Heartbeat struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
}

// Encode returns the heartbeat as JSON.
func (h *Heartbeat) Encode() ([]byte, error) {
	b, err := json.Marshal(h)
	return b, eris.Wrap(err, "membership: encode heartbeat")
}

// View holds the last heartbeat of each entry host. It is not safe for concurrent
// use.
type View struct {
	// HeartbeatTimeoutMs is how long a host counts as alive after its last
	// heartbeat, by the log service's clock.
	HeartbeatTimeoutMs int64
	heartbeats         map[string]lastHeartbeat
	newestMs           int64
}

type lastHeartbeat struct {
	dataCentre string
	unixMs     int64
}

// NewView returns an empty view with the given heartbeat timeout.
func NewView(heartbeatTimeoutMs int64) *View {
	return &View{HeartbeatTimeoutMs: heartbeatTimeoutMs, heartbeats: map[string]lastHeartbeat{}}
}

// Observe records a heartbeat with the log service's timestamp unixMs. It returns
// an error for a malformed one.
func (v *View) Observe(data []byte, unixMs int64) error {
	var h Heartbeat
	if err := json.Unmarshal(data, &h); err != nil || h.Host == "" || h.DataCentre == "" {
		return eris.Errorf("membership: malformed heartbeat %q", data)
	}
	v.heartbeats[h.Host] = lastHeartbeat{dataCentre: h.DataCentre, unixMs: unixMs}
	v.newestMs = max(v.newestMs, unixMs)
	return nil
}

// Alive returns the sorted names of the live hosts of a data centre, always
// including self. A host is alive if its last heartbeat is no older than the
// timeout, measured from the newest heartbeat of any host.
func (v *View) Alive(dataCentre, self string) []string {
	out := []string{self}
	for host, last := range v.heartbeats {
		if host != self && last.dataCentre == dataCentre && last.unixMs >= v.newestMs-v.HeartbeatTimeoutMs {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}
