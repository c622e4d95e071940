package balance

import (
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

// peerLoadTTL is how long the other hosts' load counts. It is updated three times a
// second; after a second without an update the host that adds up the hosts' load
// statistics (package inflight) is gone, and this host's own measurements are more
// accurate.
const peerLoadTTL = time.Second

// LoadStats is one host's load on an upstream.
type LoadStats struct {
	ID string
	// InFlight is the host's number of requests in flight.
	InFlight int
	// Responses is the number of responses (outcome Served) since the host's last
	// FlushLoadStats, TotalLatency the sum of their latencies.
	Responses    int
	TotalLatency time.Duration
}

// PeerLoad is the load of the data centre's other hosts on an upstream.
type PeerLoad struct {
	ID string
	// InFlight is the other hosts' number of requests in flight.
	InFlight int
	// WorkTime is the estimated time that the upstream works on a request, without
	// queueing.
	WorkTime time.Duration
}

// FlushLoadStats returns this host's load on the upstreams that Pick has returned, and
// resets their counts of responses. It leaves out upstreams without load.
func (p *Picker) FlushLoadStats() []LoadStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []LoadStats
	for id, st := range p.states {
		stats := LoadStats{ID: id, InFlight: st.limiter.InFlight(), Responses: st.responses, TotalLatency: st.totalLatency}
		if !st.picked || (stats.InFlight == 0 && stats.Responses == 0) {
			continue
		}
		out = append(out, stats)
		st.responses, st.totalLatency = 0, 0
	}
	return out
}

// SetPeerLoads stores the load of the data centre's other hosts on each upstream. The slice
// may have an element for each upstream of the Subset; elements without an ID, for
// upstreams whose load is unknown, are skipped.
func (p *Picker) SetPeerLoads(loads []PeerLoad, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, load := range loads {
		if load.ID == "" {
			continue
		}
		st := p.state(load.ID)
		st.peerLoad, st.peerLoadAt = load, now
	}
}

// HasFreeSlot reports whether a request to the upstream would run at once: the upstream is
// neither ejected nor overloaded, this host's limiter has no queue, and the requests in flight
// from all hosts of the data centre leave a slot free. It is false if the load of the other
// hosts is not known.
func (p *Picker) HasFreeSlot(u *catalogue.Upstream, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.state(u.ID)
	if !st.hasPeerLoad(now) || now.Before(st.ejectedUntil) || now.Before(st.overloadedUntil) {
		return false
	}
	s := st.limiter.State()
	return s.ExpectedWait == 0 && s.InFlight+st.peerLoad.InFlight < u.Slots
}
