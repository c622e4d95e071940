package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// history is what this host has seen of a service's records, from any planner.
// It yields deadlines for the grants of previous planners: a record was in the
// log no later than it was seen here.
type history struct {
	// newestTerm is the newest term seen, newestTermSeenAt when it was first seen.
	newestTerm       int64
	newestTermSeenAt bootclock.Time
	// lostAt is when each owner was first seen marked as lost.
	lostAt map[string]bootclock.Time
}

// observe updates the history with the latest table.
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

// previousPlanners holds the latest times at which previous planners may send
// grants.
type previousPlanners struct {
	planners []*previousPlanner
	// lostOwnerDeadlines holds earlier deadlines, by owner, for owners that the
	// last planner had marked as lost.
	lostOwnerDeadlines map[string]bootclock.Time
}

// termSeenAt returns when the term of base was first seen, or now if it is new
// to this host. The planners before it had lost the lease by then.
func (h *history) termSeenAt(base *ownership.Table, now bootclock.Time) bootclock.Time {
	if h != nil && h.newestTerm == base.Term {
		return h.newestTermSeenAt
	}
	return now
}

// lostOwnerDeadlines returns the latest times at which a previous planner may send a
// grant to the owners that base marks as lost. The planner of base had stopped sending
// to them when the mark was seen. The planners before it had lost the lease before its
// first record, and send nothing later than MaxRenewalAge after that.
func (h *history) lostOwnerDeadlines(base *ownership.Table, opts *Options) map[string]bootclock.Time {
	out := map[string]bootclock.Time{}
	if h == nil || base == nil || base.Term != h.newestTerm {
		return out
	}
	for _, id := range base.Lost {
		out[id] = max(h.lostAt[id], h.newestTermSeenAt.Add(opts.MaxRenewalAge))
	}
	return out
}

// arrivalsUntil returns the latest time at which a grant of a previous planner may
// arrive at any owner.
func (g *previousPlanners) arrivalsUntil(maxHoldUp time.Duration) bootclock.Time {
	return g.latest(func(p *previousPlanner) bootclock.Time { return p.arrivalsUntil(maxHoldUp) })
}

// lastToArrive returns the previous planner whose grants may arrive last.
func (g *previousPlanners) lastToArrive(maxHoldUp time.Duration) *previousPlanner {
	return slices.MaxFunc(g.planners, func(a, b *previousPlanner) int {
		return cmp.Compare(a.arrivalsUntil(maxHoldUp), b.arrivalsUntil(maxHoldUp))
	})
}

// dialsUntil returns the latest time at which a previous planner may open a
// connection for a grant.
func (g *previousPlanners) dialsUntil() bootclock.Time {
	return g.latest(func(p *previousPlanner) bootclock.Time { return p.dialsUntil })
}

func (g *previousPlanners) latest(deadline func(*previousPlanner) bootclock.Time) bootclock.Time {
	last := bootclock.Time(0)
	for _, p := range g.planners {
		last = max(last, deadline(p))
	}
	return last
}

// arrivalsUntilAt returns the latest time at which a grant of a previous planner may
// arrive at the owner.
func (g *previousPlanners) arrivalsUntilAt(owner string, maxHoldUp time.Duration) bootclock.Time {
	if lastGrantAt, ok := g.lostOwnerDeadlines[owner]; ok {
		return min(lastGrantAt.Add(maxHoldUp), g.arrivalsUntil(maxHoldUp))
	}
	return g.arrivalsUntil(maxHoldUp)
}
