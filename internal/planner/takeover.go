package planner

import (
	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

func (t *term) start(now bootclock.Time) {
	t.started = true
	delete(t.p.closings, t.name)
	t.firstFencingToken = t.table.MaxFencingToken
	t.previous.planners = t.newPreviousPlanners(now)
	if past := t.p.pastTerms[t.name]; past != nil && t.base != nil && past.number == t.base.Term {
		// This host was also the last planner: the deadlines of its past term still
		// apply, and the servers' states count the grants that it sent itself.
		t.servers = past.servers
		if !t.logReturned {
			t.previous = past.previous
		}
	}
	if t.logReturned {
		// Planners whose records are lost may have given out higher tokens than those that the
		// upstreams have acknowledged to this host.
		for _, srv := range t.servers {
			srv.ackedSpans, srv.minAckToken = nil, t.firstFencingToken
		}
	}
	t.p.OnEvent(Event{Kind: TermStarted, Service: t.name, Table: t.table})
}

// takeOver returns the append that starts this host's term, if it is due.
func (t *term) takeOver(now bootclock.Time) []Action {
	if t.pendingAppend != nil {
		return t.dueAppendRetry(now)
	}
	if now.Before(t.nextAppendAt) {
		return nil
	}
	if t.p.lease.renewedAt.Before(t.otherPlannerSeenAt) {
		// Another host has planned since the last lease renewal. A host that
		// was partitioned may still hold such a renewal; a term started on it
		// would supersede the current planner's and be superseded in turn.
		t.p.lease.nextRequestAt = min(t.p.lease.nextRequestAt, now)
		return nil
	}
	if !t.p.streamEndInPresentEra() {
		return nil
	}
	base := t.table
	if base == nil {
		// The first record assigns no keys yet. It shows the other hosts which
		// planner to follow before each of them has read the log for itself.
		base = ownership.NewTable(t.name)
	}
	t.logReturned = t.p.logReturnedSince(base)
	if t.logReturned {
		var actions []Action
		var done bool
		if base, actions, done = t.baseAfterReturn(now); !done {
			return actions
		}
	}
	next := base.TakeOver(t.p.opts.Host, t.p.opts.PeerAddr, t.p.era)
	t.number = next.Term
	t.base = t.table
	if t.base != nil {
		t.base = base
		t.baseTermSeenAt = t.p.histories[t.name].termSeenAt(t.base, now)
	}
	if t.logReturned {
		next.PreviousPlanners = append(next.PreviousPlanners, ownership.PlannerHost{})
	} else {
		t.previous.lostOwnerDeadlines = t.p.histories[t.name].lostOwnerDeadlines(t.base, &t.p.opts)
	}
	next.Cause = "new planner"
	t.pendingAppend = &Append{Table: next, At: t.p.streamEnd, Cause: next.Cause}
	return []Action{t.pendingAppend}
}

// dueAppendRetry returns the pending append if it needs a retry and the retry is due.
func (t *term) dueAppendRetry(now bootclock.Time) []Action {
	if !t.appendNeedsRetry || now.Before(t.nextAppendAt) {
		return nil
	}
	t.appendNeedsRetry = false
	return []Action{t.pendingAppend}
}
