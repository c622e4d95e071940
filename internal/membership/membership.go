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
	last               map[string]seen
	newest             int64
}

type seen struct {
	dc string
	ms int64
}

// NewView returns an empty view with the given host lease.
func NewView(leaseMs int64) *View {
	return &View{HeartbeatTimeoutMs: leaseMs, last: map[string]seen{}}
}

// Observe records a heartbeat stamped unixMs by the log service. Malformed
// records are refused.
func (v *View) Observe(data []byte, unixMs int64) error {
	var h Heartbeat
	if err := json.Unmarshal(data, &h); err != nil || h.Host == "" || h.DataCentre == "" {
		return eris.Errorf("membership: malformed heartbeat %q", data)
	}
	v.last[h.Host] = seen{dc: h.DataCentre, ms: unixMs}
	v.newest = max(v.newest, unixMs)
	return nil
}

// Alive returns the hosts of data centre dc whose last heartbeat is within
// the lease of the newest one seen, sorted, always including self.
func (v *View) Alive(dc, self string) []string {
	out := []string{self}
	for h, s := range v.last {
		if h != self && s.dc == dc && s.ms >= v.newest-v.HeartbeatTimeoutMs {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}
