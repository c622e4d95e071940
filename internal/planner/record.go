package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// blockedBy returns why the move's old owner may still hold its keys, or "" if it can no longer;
// the package comment explains the conditions.
func (t *term) blockedBy(m *move, now bootclock.Time) string {
	if m.old.Owner == "" {
		return "" // not unproven, as no move of such a range starts
	}
	if m.releaseInFlight == nil && catalogue.IsLaterIncarnation(m.dest, m.old.Owner) {
		return ""
	}
	maxValidity := t.p.opts.maxGrantValidity()
	srv := t.server(m.old.Owner)
	switch {
	case srv.grantsInFlight > 0:
		return "grant in flight"
	case m.releaseInFlight != nil:
		return "release in flight"
	case t.hasEnded(m.old.Owner):
		return ""
	case now.Before(m.relistUntil):
		return "owner may return"
	case m.old.FencingToken <= t.firstFencingToken && !t.previousGrantsExpired(m, now):
		return reasonPreviousGrants
	case srv.hadNoResponse && now.Sub(srv.noResponseAt) <= maxValidity:
		return "grant without a response"
	case !m.released && srv.grantSent && now.Sub(srv.maybeGrantedAt) <= maxValidity:
		return "not released"
	}
	return ""
}

// reasonPreviousGrants is blockedBy's reason while a grant of a previous planner may arrive.
const reasonPreviousGrants = "grants of a previous planner"

const (
	// blockedMoveDelay is how long a move may wait once its owner has released the keys, which
	// have no owner meanwhile, before that is reported.
	blockedMoveDelay = time.Second
	// blockedReportInterval is the least time between two such reports of a term.
	blockedReportInterval = time.Second
)

// reportBlocked emits an event for a move that waits although its owner has released the keys, or that
// waits for grants of a previous planner.
func (t *term) reportBlocked(m *move, reason string, now bootclock.Time) {
	if now.Sub(t.blockedReportedAt) < blockedReportInterval {
		return
	}
	switch {
	case m.released && now.Sub(m.releasedAt) >= blockedMoveDelay:
		t.p.OnEvent(Event{Kind: MoveBlocked, Service: t.name, Upstream: m.old.Owner, Cause: reason, Age: now.Sub(m.releasedAt)})
	case !m.released && reason == reasonPreviousGrants:
		last := t.previous.lastToArrive(t.p.maxHoldUp())
		until := t.previous.arrivalsUntilAt(m.old.Owner, t.p.maxHoldUp()).Add(t.p.opts.maxGrantValidity())
		t.p.OnEvent(Event{Kind: MoveAwaitsGrants, Service: t.name, Upstream: m.old.Owner, Cause: last.Host, Remaining: until.Sub(now)})
	default:
		return
	}
	t.blockedReportedAt = now
}

// previousGrantsExpired reports whether no grant of a previous planner can keep
// the move's keys at their old owner.
func (t *term) previousGrantsExpired(m *move, now bootclock.Time) bool {
	maxValidity := t.p.opts.maxGrantValidity()
	if now.Sub(t.previous.arrivalsUntilAt(m.old.Owner, t.p.maxHoldUp())) > maxValidity {
		return true
	}
	srv := t.server(m.old.Owner)
	if srv.incarnation != m.old.Owner || !srv.acknowledgedTerm(m.span, 0) {
		return false
	}
	if m.released {
		return true
	}
	// A later incarnation may accept a grant over a connection that a previous planner has opened to it.
	// There is no such connection if the owner has acknowledged the token since the last was opened.
	lastDial := t.previous.dialsUntil()
	if !srv.acknowledgedTerm(m.span, lastDial) {
		lastDial = lastDial.Add(t.p.maxHoldUp())
	}
	return now.Sub(lastDial) > maxValidity
}

// mayRelease reports whether a release sent now would also end the grants of
// previous planners. It would not if one of them could still reach a later
// incarnation of the owner's server.
func (t *term) mayRelease(m *move, now bootclock.Time) bool {
	return m.old.FencingToken > t.firstFencingToken || now.Sub(t.previous.dialsUntil()) > maxGrantDelay
}

// dueAppend returns the append to make now, or nil: a retry of the pending one,
// or a new record of the moves that are ready and of changes to the lost owners.
func (t *term) dueAppend(now bootclock.Time) Action {
	if t.pendingAppend != nil {
		if retry := t.dueAppendRetry(now); len(retry) > 0 {
			return retry[0]
		}
		return nil
	}
	if now.Before(t.nextAppendAt) {
		return nil
	}
	var ready []ownership.Move
	cause, urgent := "", false
	for _, m := range t.moves {
		if reason := t.blockedBy(m, now); reason != "" {
			t.reportBlocked(m, reason, now)
			continue
		}
		if m.lacksHandover() && !t.limiter.allow(m.span, now) {
			continue
		}
		if u := t.upstreams[m.dest]; u == nil || t.drainingOrCold(u) || t.unavailable(m.dest, now) {
			t.redirect(m, now)
		}
		ready = append(ready, ownership.Move{From: m.from, To: m.to, NewOwner: m.dest, HandoverToken: m.handoverToken})
		cause = m.cause
		urgent = urgent || m.cause != causeLoad
	}
	if len(ready) > 0 && !urgent && now.Sub(t.lastRecordAt) < loadRecordInterval {
		return nil
	}
	next := t.table
	if len(ready) > 0 {
		next = next.Apply(ready)
	}
	if next.HasUnproven() && now.Sub(t.p.lostGrantsUntil()) > 0 {
		next = next.Proven()
		cause = cmp.Or(cause, "lost grants expired")
	}
	if lost := t.lostOwners(next); !slices.Equal(lost, t.table.Lost) {
		next = next.WithLost(lost)
		cause = cmp.Or(cause, "lost owners")
	}
	if next == t.table {
		return nil
	}
	next.Cause = cause
	next.PreviousPlanners = t.previousPlannersForRecord(now)
	t.pendingAppend = &Append{Table: next, At: t.p.streamEnd, Cause: cause}
	t.lastRecordAt = now
	return t.pendingAppend
}

// lostOwners returns the owners in the table that get no grants, because they
// are gone or unresponsive. An owner with a grant in flight is not marked as lost
// yet: the mark promises that no more grants are sent to it.
func (t *term) lostOwners(table *ownership.Table) []string {
	var out []string
	for _, r := range table.Ranges {
		srv := t.server(r.Owner)
		lost := t.upstreams[r.Owner] == nil || srv.unresponsive
		if r.Owner != "" && lost && srv.grantsInFlight == 0 {
			out = append(out, r.Owner)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// redirect gives a move whose new owner may own no keys any more the eligible
// upstream with the fewest keys instead, or none if no upstream is eligible.
func (t *term) redirect(m *move, now bootclock.Time) {
	keyCount := map[string]int{}
	for _, r := range t.table.Ranges {
		keyCount[r.Owner] += r.To - r.From + 1
	}
	m.dest = ""
	for _, u := range t.eligibleUpstreams(now) {
		if m.dest == "" || keyCount[u.ID] < keyCount[m.dest] || (keyCount[u.ID] == keyCount[m.dest] && u.ID < m.dest) {
			m.dest = u.ID
		}
	}
}

// dropFinishedMoves removes the moves that the current table contains.
func (t *term) dropFinishedMoves() {
	t.moves = slices.DeleteFunc(t.moves, func(m *move) bool { return t.table.Find(m.from).FencingToken > m.old.FencingToken })
}
