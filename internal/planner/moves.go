package planner

import (
	"errors"
	"slices"
	"sort"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// move is a span on its way to another owner.
type move struct {
	span
	old ownership.Range
	// dest is the upstream that gets the keys.
	dest string
	// releaseInFlight is the one under way, released is set once one was answered.
	releaseInFlight *Release
	released        bool
	handover        string
	nextRelease     bootclock.Time
	// releaseFailed is set once a release got no answer, silentUntil is until when
	// an owner that answers again may still be listed again.
	releaseFailed bool
	relistUntil   bootclock.Time
	cause         string
}

// Causes of moves, as they stand in the log and in table records.
const (
	causeNoOwner   = "no owner"
	causeRestarted = "owner restarted"
	causeGone      = "owner gone"
	causeLeaving   = "owner leaving"
	causeEvacuated = "data centre evacuated"
	causeCold      = "owner in its slow start"
	causeLost      = "owner lost"
	causeLoad      = "load"
)

// lacksHandover reports whether the move's keys come without a handover from an
// owner that was lost or is gone.
func (m *move) lacksHandover() bool {
	return m.handover == "" && (m.cause == causeLost || m.cause == causeGone)
}

const (
	// rebalanceInterval is the pause between looks for load that is out of balance.
	rebalanceInterval = 250 * time.Millisecond
	// ownerlessCheckInterval is that pause while keys need an owner. A look costs some
	// milliseconds; with one in each tick a planner whose upstreams restarted
	// in turn was too busy to prove its seat and lost it three times.
	ownerlessCheckInterval = 100 * time.Millisecond
)

// fewestSamples is how many requests must be known before keys move for
// load: a planner that has just taken over knows nothing of it yet.
const minSamples = 40

// freshSeat is how lately the seat must have been proved for keys to move for
// load.
const maxLeaseAge = 900 * time.Millisecond

// planMoves starts the moves that the present owners and load call for.
func (t *term) planMoves(now bootclock.Time) {
	if t.awaitingRegistrations(now) {
		return
	}
	if now.Before(t.nextOwnerlessCheck) || (now.Before(t.nextRebalance) && !t.hasOwnerlessKeys(now)) {
		return
	}
	t.nextRebalance, t.nextOwnerlessCheck = now.Add(rebalanceInterval), now.Add(ownerlessCheckInterval)
	t.cancelMovesOfReturnedOwners(now)
	t.startExclusions(now)
	owners := t.eligibleOwners(now)
	if len(owners) == 0 {
		return
	}
	if t.moveToNewIncarnations(now) {
		t.syncGrants(now)
		return // recorded first; load is looked at after that
	}
	load, lim := t.loadAndLimits(owners, now)
	t.limiter.setLoad(t.warmUp, load)
	planned := t.table.Apply(t.pendingMoves())
	for _, m := range ownership.Rebalance(planned, load, lim) {
		t.startMove(m, now)
	}
	t.syncGrants(now)
}

// loadAndLimits returns what is known of the load on the owners, and how far keys may
// be moved for it now.
func (t *term) loadAndLimits(owners []*catalogue.Upstream, now bootclock.Time) (ownership.Load, ownership.Limits) {
	load, samples := t.p.Load(t.name, owners)
	load.SlowToMove = t.ownersWithUnansweredGrants(owners, now)
	if t.neverAssigned() {
		// Requests that were refused for want of an owner say little: after
		// ten of them the ten keys would be dealt out and the rest left in
		// one piece.
		load.ByKey = nil
	}
	lim := t.p.Limits
	moveBudget := max(lim.MaxMoves, min(len(owners)/ownersPerMove, maxLoadMoves))
	lim.MaxMoves = max(moveBudget-t.loadMoveCount(), 0)
	if samples < minSamples || now.Sub(t.p.lease.renewedAt) > maxLeaseAge {
		// Keys taken back while the log cannot be written to would stay
		// without an owner until it can.
		lim.MaxMoves = 0
	}
	return load, lim
}

// ownersWithUnansweredGrants returns the owners that have lately left a grant unanswered. It
// may be carried out yet, so that keys taken from them would have no owner
// until it has run out: 3 s instead of the time of the work under way. Where
// upstreams lost six answers of a hundred, nine tenths of all moves for load
// waited so.
func (t *term) ownersWithUnansweredGrants(owners []*catalogue.Upstream, now bootclock.Time) map[string]bool {
	out := map[string]bool{}
	for _, u := range owners {
		srv := t.server(u.ID)
		if srv.hasUnanswered && now.Sub(srv.unansweredAt) <= t.p.opts.maxGrantTTL() {
			out[u.ID] = true
		}
	}
	return out
}

// loadMoveCount returns how many keys' runs are on the move for load. Those of
// owners that are lost or leave do not count: their keys are not stopped for
// the sake of balance, and while 200 of them waited for leases to run out no
// other owner was relieved.
func (t *term) loadMoveCount() int {
	n := 0
	for _, m := range t.moves {
		if m.cause == causeLoad {
			n++
		}
	}
	return n
}

// moveToNewIncarnations gives the keys of lives that have ended to the next life of
// their server, where one is listed. It alone may have been given them by a
// late grant to its predecessor, so that they are free for it at once; another
// upstream would have to wait until the last of those has run out. It reports
// whether there are such keys.
func (t *term) moveToNewIncarnations(now bootclock.Time) bool {
	found := false
	for _, r := range t.table.Ranges {
		if u := t.newerIncarnation(r.Owner); u != nil && !t.ineligible(u) && !t.excluded(u.ID, now) {
			t.startMove(ownership.Move{From: r.From, To: r.To, NewOwner: u.ID}, now)
			found = true
		}
	}
	return found
}

// awaitingRegistrations reports whether the service's upstreams are still registering
// before the first division: those that came first would get all keys.
func (t *term) awaitingRegistrations(now bootclock.Time) bool {
	if !t.neverAssigned() {
		return false
	}
	reg := t.p.registrations[t.name]
	if reg.maxListed == 0 {
		return true
	}
	elapsed := now.Sub(reg.firstAt)
	return elapsed < minRegistrationWait || (now.Sub(reg.lastAt) < registrationQuiet && elapsed < maxRegistrationWait)
}

// neverAssigned reports whether no key has had an owner yet.
func (t *term) neverAssigned() bool {
	return !slices.ContainsFunc(t.table.Ranges, func(r ownership.Range) bool { return r.Owner != "" })
}

// hasOwnerlessKeys reports whether a range that is not on the move is owned by
// nobody who could keep it.
func (t *term) hasOwnerlessKeys(now bootclock.Time) bool {
	for _, r := range t.table.Ranges {
		u := t.upstreams[r.Owner]
		if u != nil && !t.ineligible(u) && !t.excluded(r.Owner, now) {
			continue
		}
		if len(t.subtractMoves(span{r.From, r.To})) > 0 {
			return true
		}
	}
	return false
}

func (t *term) pendingMoves() []ownership.Move {
	var out []ownership.Move
	for _, m := range t.moves {
		out = append(out, ownership.Move{From: m.from, To: m.to, NewOwner: m.dest})
	}
	return out
}

// startMove begins a move unless its keys are on the move already. A move
// whose new owner was lost meanwhile is given another one.
func (t *term) startMove(m ownership.Move, now bootclock.Time) {
	s := span{m.From, m.To}
	for _, part := range t.subtractMoves(s) {
		old := t.table.Find(part.from)
		old.From, old.To = part.from, part.to
		if !t.mayStartMove(old, now) {
			continue
		}
		mv := &move{span: part, old: old, dest: m.NewOwner, nextRelease: now, cause: t.moveCause(old.Owner, now)}
		mv.released = old.Owner == ""
		t.insertMove(mv)
	}
	if t.pendingAppend != nil {
		return // what is being recorded can no longer be changed
	}
	for _, mv := range t.moves {
		if mv.from >= s.from && mv.to <= s.to {
			mv.dest = m.NewOwner
		}
	}
}

// mayStartMove reports whether a move of the range would not have to wait for the
// grants of earlier planners though its owner lives. A range that was taken
// back before its owner had acknowledged this term's token stayed without an
// owner until those had run out, 9.2 s: on a day with six changes of planner 40
// to 70 requests a second were refused for that from the first change on. The
// owner acknowledges it with its first grant, or is taken for lost.
func (t *term) mayStartMove(old ownership.Range, now bootclock.Time) bool {
	if old.Owner == "" || old.FencingToken > t.firstFencingToken || now.Sub(t.previousGrants.grantsUntilFor(old.Owner)) > t.p.opts.maxGrantTTL() {
		return true
	}
	srv := t.server(old.Owner)
	if t.upstreams[old.Owner] == nil || srv.lost {
		return true
	}
	return srv.incarnation == old.Owner && srv.acknowledgedTerm(span{old.From, old.To}) && now.Sub(t.previousGrants.dialsUntil()) > maxGrantDelay
}

// insertMove keeps the moves in the order of their keys.
func (t *term) insertMove(m *move) {
	i := sort.Search(len(t.moves), func(i int) bool { return t.moves[i].from > m.from })
	t.moves = slices.Insert(t.moves, i, m)
}

// findMove returns the move of exactly s, or nil.
func (t *term) findMove(s span) *move {
	i := sort.Search(len(t.moves), func(i int) bool { return t.moves[i].from >= s.from })
	if i < len(t.moves) && t.moves[i].span == s {
		return t.moves[i]
	}
	return nil
}

func (t *term) moveCause(owner string, now bootclock.Time) string {
	u := t.upstreams[owner]
	switch {
	case owner == "":
		return causeNoOwner
	case t.newerIncarnation(owner) != nil:
		return causeRestarted
	case u == nil:
		return causeGone
	case u.Leaving || u.ReportedLeaving:
		return causeLeaving
	case u.HandingOver():
		return causeEvacuated
	case t.excluded(owner, now):
		return causeLost
	case t.ineligible(u):
		return causeCold
	}
	return causeLoad
}

// dueReleases returns the releases to send. A release waits for the grants
// under way to its owner: one that arrived after it would give the keys
// back.
func (t *term) dueReleases(now bootclock.Time) []Action {
	var out []Action
	for _, m := range t.moves {
		u := t.upstreams[m.old.Owner]
		if m.released || m.releaseInFlight != nil || u == nil || now.Before(m.nextRelease) || t.server(m.old.Owner).grantsInFlight > 0 || !t.mayRelease(m, now) {
			continue
		}
		m.releaseInFlight = &Release{Service: t.name, Addr: u.Addr, Range: m.old}
		out = append(out, m.releaseInFlight)
	}
	return out
}

func (t *term) releaseDone(r *Release, handover string, err error, now bootclock.Time) {
	m := t.findMove(span{r.Range.From, r.Range.To})
	if m == nil || m.releaseInFlight != r {
		// It was sent for a move that was given up: the keys may have been
		// granted to their owner again since it was carried out.
		return
	}
	m.releaseInFlight = nil
	if errors.Is(err, ownership.ErrRejected) {
		// An upstream refuses no release, so something else answers at its
		// address: the old owner has ended and its grants with it.
		m.released = true
		return
	}
	if err != nil {
		m.releaseFailed = true
		m.nextRelease = now.Add(releaseRetryDelay)
		t.emitFailure(ReleaseFailed, r.Range.Owner, err, now)
		return
	}
	if t.restoreOwner(r.Range.Owner, now) {
		return
	}
	m.released, m.handover = true, handover
	if m.releaseFailed {
		m.relistUntil = now.Add(relistGrace)
	}
}

// cancelMovesOfReturnedOwners gives up the moves of owners that were taken for gone or lost
// and are back: listed again, with nobody else granted their keys. After a
// data centre's cut heals its upstreams answer before they are listed, all
// within a heartbeat; moving a third of the keys off them, cold, left the
// others overloaded for seconds.
func (t *term) cancelMovesOfReturnedOwners(now bootclock.Time) {
	if t.pendingAppend != nil {
		return
	}
	t.moves = slices.DeleteFunc(t.moves, func(m *move) bool {
		u := t.upstreams[m.old.Owner]
		wasUnlisted := m.cause == causeLeaving || m.cause == causeGone
		if !m.releaseFailed || m.releaseInFlight != nil || u == nil || t.ineligible(u) || (!m.released && !wasUnlisted) {
			return false
		}
		srv := t.server(u.ID)
		srv.lost, srv.answeredAt = false, now
		return true
	})
	t.syncGrants(now)
}

// restoreOwner gives an upstream that was taken for lost, but answers again, its
// keys back instead of moving them: nobody else has been granted them, and
// it may be that only the answers to its grants were lost. Moves whose
// release is still under way go on. It reports whether it did.
func (t *term) restoreOwner(id string, now bootclock.Time) bool {
	srv, u := t.server(id), t.upstreams[id]
	if !srv.lost || u == nil || t.ineligible(u) || t.pendingAppend != nil {
		return false
	}
	srv.lost = false
	srv.answeredAt = now
	t.moves = slices.DeleteFunc(t.moves, func(m *move) bool { return m.old.Owner == id && m.releaseInFlight == nil })
	t.syncGrants(now)
	return true
}

// startExclusions lets lost upstreams that own nothing any more come back after
// a pause, which doubles with each loss: one that answers now and then would
// otherwise be given keys only to lose them again.
func (t *term) startExclusions(now bootclock.Time) {
	owns := map[string]bool{}
	for _, r := range t.table.Ranges {
		owns[catalogue.ServerID(r.Owner)] = true
	}
	for server, srv := range t.servers {
		if !srv.lost || owns[server] || srv.grantsInFlight > 0 {
			continue
		}
		srv.lost = false
		srv.excludedUntil = now.Add(min(minExclusion<<min(srv.losses, 4), maxExclusion))
		srv.losses++
		srv.grantSent = false
	}
}
