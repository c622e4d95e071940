package planner

import "github.com/papayatide/papayatide/internal/bootclock"

// ObserveEra records the log's era. When it rises, the log has returned from an older copy:
// records are gone that this host has acted on, and the lease may be another host's. Its terms
// end, and it plans only once it has renewed the lease and read the stream in the new era.
func (p *Planner) ObserveEra(era int64, now bootclock.Time) {
	if era <= p.era {
		return
	}
	first := p.era == 0
	p.era, p.eraSeenAt = era, now
	if first {
		return
	}
	if p.lease.held {
		p.OnEvent(Event{Kind: LeaseLost, Cause: "the log has returned from an older copy", Age: now.Sub(p.lease.renewedAt)})
	}
	p.lease.held, p.lease.nextRequestAt = false, now
	p.dropTerms()
}
