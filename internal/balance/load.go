package balance

import "time"

// learnedFor is how long what was learnt of other hosts counts. They report
// three times a second; after a second without word the host that adds the
// reports up is gone, and this host's own answers say more.
const peerLoadTTL = time.Second

// LoadStats is what one host has at an upstream.
type LoadStats struct {
	ID string
	// InFlight is how many requests it has there now.
	InFlight int
	// Answered is how many were answered since its last report, Latency how
	// long those took together.
	Answered int
	Latency  time.Duration
}

// PeerLoad is what the other hosts of the data centre have at an upstream.
type PeerLoad struct {
	ID string
	// InFlight is how many requests they have there.
	InFlight int
	// WorkTime is how long the upstream works on a request.
	WorkTime time.Duration
}

// FlushLoadStats returns what this host has at the upstreams that were chosen by Pick,
// and begins to count answers anew.
func (b *Picker) FlushLoadStats() []LoadStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []LoadStats
	for id, r := range b.states {
		u := LoadStats{ID: id, InFlight: r.limiter.InFlight(), Answered: r.answered, Latency: r.totalLatency}
		if !r.picked || (u.InFlight == 0 && u.Answered == 0) {
			continue
		}
		out = append(out, u)
		r.answered, r.totalLatency = 0, 0
	}
	return out
}

// SetPeerLoads takes in what the other hosts of this data centre have at each
// upstream. Entries without an ID say nothing.
func (b *Picker) SetPeerLoads(others []PeerLoad, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range others {
		if o.ID == "" {
			continue
		}
		r := b.state(o.ID)
		r.peerLoad, r.peerLoadAt = o, now
	}
}
