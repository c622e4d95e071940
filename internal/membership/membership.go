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

// View is what one host knows of the others. It is not safe for
// concurrent use; the control loop owns it.
type View struct {
	// Lease is how long, in the log's milliseconds, a host stays alive
	// after its last heartbeat.
	HeartbeatTimeoutMs int64
	heartbeats         map[string]lastHeartbeat
	newestMs           int64
}

type lastHeartbeat struct {
	dataCentre string
	unixMs     int64
}

// NewView returns an empty view with the given host lease.
func NewView(leaseMs int64) *View {
	return &View{HeartbeatTimeoutMs: leaseMs, heartbeats: map[string]lastHeartbeat{}}
}

// Observe records a heartbeat stamped unixMs by the log service. Malformed
// records are refused.
func (v *View) Observe(data []byte, unixMs int64) error {
	var h Heartbeat
	if err := json.Unmarshal(data, &h); err != nil || h.Host == "" || h.DataCentre == "" {
		return eris.Errorf("membership: malformed heartbeat %q", data)
	}
	v.heartbeats[h.Host] = lastHeartbeat{dataCentre: h.DataCentre, unixMs: unixMs}
	v.newestMs = max(v.newestMs, unixMs)
	return nil
}

// Alive returns the hosts of data centre dc whose last heartbeat is within
// the lease of the newest one seen, sorted, always including self.
func (v *View) Alive(dc, self string) []string {
	out := []string{self}
	for h, s := range v.heartbeats {
		if h != self && s.dataCentre == dc && s.unixMs >= v.newestMs-v.HeartbeatTimeoutMs {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}
