package planner

import (
	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// history is what this host has seen of a service's records, whoever wrote
// them. It bounds what earlier planners may still send: a record was in the
// log no later than it was seen here.
type history struct {
	// newestTerm is the newest term seen, and termAt when its first record was.
	newestTerm       int64
	newestTermSeenAt bootclock.Time
	// lostAt is when each lost owner was first seen marked.
	lostAt map[string]bootclock.Time
}

// observe takes in the newest table.
func (h *history) observe(t *ownership.Table, now bootclock.Time) {
	if t.Term != h.newestTerm {
		h.newestTerm, h.newestTermSeenAt = t.Term, now
	}
	for id := range h.lostAt {
		if !t.IsLost(id) {
			delete(h.lostAt, id)
		}
	}
	for _, id := range t.Lost {
		if _, ok := h.lostAt[id]; !ok {
			h.lostAt[id] = now
		}
	}
}

// previousGrants bounds the grants of earlier planners.
type previousGrants struct {
	planners []*previousPlanner
	// lostBounds holds an earlier bound for owners that the last planner had
	// marked as lost.
	lostBounds map[string]bootclock.Time
}

// termSeenAt returns when base's term was first seen; now if it is new here. The
// planners before it had lost the seat by then.
func (h *history) termSeenAt(base *ownership.Table, now bootclock.Time) bootclock.Time {
	if h != nil && h.newestTerm == base.Term {
		return h.newestTermSeenAt
	}
	return now
}

// lostBounds returns the bounds for owners that base's writer marked as
// lost. The writer has stopped sending to them when the mark was seen; those
// before it have lost their seat before its first record, and send for
// viewAge after that at most.
func (h *history) lostBounds(base *ownership.Table, opts *Options) map[string]bootclock.Time {
	out := map[string]bootclock.Time{}
	if h == nil || base == nil || base.Term != h.newestTerm {
		return out
	}
	for _, id := range base.Lost {
		out[id] = max(h.lostAt[id], h.newestTermSeenAt.Add(opts.MaxViewAge))
	}
	return out
}

// grantsUntil returns when the last grant of the planners before this one may be
// sent, to any owner.
func (g *previousGrants) grantsUntil() bootclock.Time {
	return g.latest(func(p *previousPlanner) bootclock.Time { return p.grantsUntil })
}

// dialsUntil returns when they may last open a connection for one.
func (g *previousGrants) dialsUntil() bootclock.Time {
	return g.latest(func(p *previousPlanner) bootclock.Time { return p.dialsUntil })
}

func (g *previousGrants) latest(bound func(*previousPlanner) bootclock.Time) bootclock.Time {
	last := bootclock.Time(0)
	for _, p := range g.planners {
		last = max(last, bound(p))
	}
	return last
}

// grantsUntilFor returns when the last grant of an earlier planner may be sent to the
// owner.
func (g *previousGrants) grantsUntilFor(owner string) bootclock.Time {
	if at, ok := g.lostBounds[owner]; ok {
		return min(at, g.grantsUntil())
	}
	return g.grantsUntil()
}
