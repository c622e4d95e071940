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
	// WorkInFlight and AnsweredWork are the expected work of the requests in flight and of the
	// responses; 0 for services that are not competing, and from hosts of earlier builds.
	WorkInFlight, AnsweredWork time.Duration
	// Reported is the number of requests running and waiting at the upstream by its newest load
	// report since the host's last FlushLoadStats, from the hosts of all data centres; HasReport
	// is set if there was one.
	Reported  int
	HasReport bool
}

// PeerLoad is the load of the data centre's other hosts on an upstream.
type PeerLoad struct {
	ID string
	// InFlight is the other hosts' number of requests in flight.
	InFlight int
	// WorkTime is the estimated time that the upstream works on a request, without
	// queueing.
	WorkTime time.Duration
	// WorkInFlight is the expected work of the other hosts' requests in flight; 0 if it is not
	// known.
	WorkInFlight time.Duration
}

// FlushLoadStats returns this host's load on the upstreams that Pick has returned and, for
// SilenceNotice, on those of competing keyed services that report no load, and resets their counts
// of responses. It leaves out upstreams without load.
func (p *Picker) FlushLoadStats() []LoadStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []LoadStats
	for id, st := range p.states {
		stats := LoadStats{ID: id, InFlight: st.limiter.InFlight(), Responses: st.responses, TotalLatency: st.totalLatency,
			WorkInFlight: st.work.inFlight, AnsweredWork: st.work.answered}
		stats.Reported, stats.HasReport = st.work.takeReport()
		if !st.picked && (st.work.report.Known() || (len(st.work.sendings) == 0 && st.work.answered == 0)) {
			st.responses, st.totalLatency = 0, 0 // of a time when the service was not competing
			continue
		}
		if !st.picked {
			stats.InFlight = len(st.work.sendings)
		}
		if stats.InFlight == 0 && stats.Responses == 0 && !stats.HasReport {
			continue
		}
		out = append(out, stats)
		st.responses, st.totalLatency, st.work.answered = 0, 0, 0
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
