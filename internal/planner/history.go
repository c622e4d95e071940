package planner

import (
	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// history is what this host has seen of a service's records, whoever wrote
// them. It bounds what earlier planners may still send: a record was in the
// log no later than it was seen here.
type history struct {
	// term is the newest term seen, and termAt when its first record was.
	term   int64
	termAt bootclock.Time
	// lostAt is when each lost owner was first seen marked.
	lostAt map[string]bootclock.Time
}

// see takes in the newest table.
func (h *history) see(t *ownership.Table, now bootclock.Time) {
	if t.Term != h.term {
		h.term, h.termAt = t.Term, now
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

// foreign bounds the grants of earlier planners.
type foreign struct {
	// until is when the last of them may be sent to any owner.
	until bootclock.Time
	// dialsUntil is when they may last open a connection for one.
	dialsUntil bootclock.Time
	// sooner holds an earlier bound for owners that the last planner had
	// marked as lost.
	sooner map[string]bootclock.Time
}

// earlierUntil bounds the grants of the planners before base's writer, by what
// its record says or by when its term was first seen.
func (h *history) earlierUntil(base *ownership.Table, now bootclock.Time, opts *Options) bootclock.Time {
	switch {
	case base == nil || base.Settled:
		return 0
	case h != nil && h.term == base.Term:
		return h.termAt.Add(opts.ViewAge)
	}
	return now.Add(opts.ViewAge)
}

// soonerAfter returns the bounds for owners that base's writer marked as
// lost. The writer has stopped sending to them when the mark was seen; those
// before it have lost their seat before its first record, and send for
// viewAge after that at most.
func (h *history) soonerAfter(base *ownership.Table, opts *Options) map[string]bootclock.Time {
	out := map[string]bootclock.Time{}
	if h == nil || base == nil || base.Term != h.term {
		return out
	}
	for _, id := range base.Lost {
		out[id] = max(h.lostAt[id], h.termAt.Add(opts.ViewAge))
	}
	return out
}

// retired takes in that the planner of the term before sends no more grants
// since now, and that those before it send none after earlier.
func (f *foreign) retired(now, earlier bootclock.Time) {
	f.until = min(f.until, max(now, earlier))
	f.dialsUntil = min(f.dialsUntil, max(now, earlier))
	for owner, at := range f.sooner {
		f.sooner[owner] = min(at, f.until)
	}
}

// lastTo returns when the last grant of an earlier planner may be sent to the
// owner.
func (f *foreign) lastTo(owner string) bootclock.Time {
	if at, ok := f.sooner[owner]; ok {
		return at
	}
	return f.until
}
