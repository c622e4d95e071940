package planner

import (
	"slices"
	"sort"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// move is a span that is being moved to another owner. The package comment
// explains handoverToken.
type move struct {
	span
	old ownership.Range
	// dest is the ID of the upstream that gets the keys.
	dest string
	// releaseInFlight is the release that awaits its response; released is set
	// once one got a response, or if there is no owner.
	releaseInFlight *Release
	released        bool
	releasedAt      bootclock.Time
	handoverToken   string
	nextRelease     bootclock.Time
	// releaseFailed is set once a release failed. Until relistUntil an owner
	// that responds again is given time until its entry is in the log again.
	releaseFailed bool
	relistUntil   bootclock.Time
	cause         string
}

// Causes of moves, as written to log messages and table records.
const (
	causeNoOwner      = "no owner"
	causeRestarted    = "owner restarted"
	causeGone         = "owner gone"
	causeLeaving      = "owner leaving"
	causeEvacuated    = "data centre evacuated"
	causeCold         = "owner in its slow start"
	causeUnresponsive = "owner lost" // unresponsive, or excluded because it was
	causeLoad         = "load"
)

// lacksHandover reports whether the move's keys come without a handover because
// their owner was unresponsive or gone when the move started.
func (m *move) lacksHandover() bool {
	return m.handoverToken == "" && (m.cause == causeUnresponsive || m.cause == causeGone)
}

const (
	// rebalanceInterval is the interval between load checks.
	rebalanceInterval = 250 * time.Millisecond
	// newOwnerCheckInterval is the minimum interval between checks for keys that
	// need a new owner. A check takes some milliseconds: with one per tick, a
	// planner whose upstreams restart one after another would be too busy to renew
	// its lease, and could lose it three times meanwhile.
	newOwnerCheckInterval = 100 * time.Millisecond
)

// minSamples is how many requests a load estimate must rest on before keys are
// moved for load. A planner that has just taken over has no estimate yet.
const minSamples = 40

// recentRenewalAge is how recently the lease must have been renewed for the
// planner to move keys for load, to open connections for grants and to rely on
// being the only writer of the ownership stream. Options.MaxRenewalAge is the
// longer limit of the same time for acting as the planner at all.
const recentRenewalAge = 900 * time.Millisecond

// planMoves starts the moves that the current owners and load require.
func (t *term) planMoves(now bootclock.Time) {
	if t.awaitingRegistrations(now) || t.p.paths.blind() {
		return
	}
	if now.Before(t.nextNewOwnerCheck) || (now.Before(t.nextRebalance) && !t.hasKeysNeedingNewOwner(now)) {
		return
	}
	t.nextRebalance, t.nextNewOwnerCheck = now.Add(rebalanceInterval), now.Add(newOwnerCheckInterval)
	t.cancelMovesOfReturnedOwners(now)
	t.startExclusions(now)
	eligible := t.eligibleUpstreams(now)
	if len(eligible) == 0 {
		t.retryLostOwners(now)
		return
	}
	if t.moveToNewIncarnations(now) {
		t.syncGrants(now)
		return // recorded first; load is considered afterwards
	}
	load, lim := t.loadAndLimits(eligible, now)
	t.limiter.setLoad(t.warmUp, load)
	planned := t.table.Apply(t.pendingMoves())
	for _, m := range ownership.Rebalance(planned, load, lim) {
		t.startMove(m, now)
	}
	t.syncGrants(now)
}

// loadAndLimits returns the known load with the capacities of the eligible
// upstreams, and how far keys may be moved for it now.
func (t *term) loadAndLimits(eligible []*catalogue.Upstream, now bootclock.Time) (ownership.Load, ownership.Limits) {
	load, samples := t.p.Load(t.name, eligible)
	load.SlowToMove = t.upstreamsWithoutResponse(eligible, now)
	if t.noKeyAssigned() {
		// Requests that were refused because no key has an owner show little
		// about load: after ten of them, those ten keys would be spread out and
		// all others left in one range.
		load.ByKey = nil
	}
	lim := t.p.Limits
	moveBudget := max(lim.MaxMoves, min(len(eligible)/upstreamsPerMove, maxLoadMoves))
	lim.MaxMoves = max(moveBudget-t.loadMoveCount(), 0)
	if samples < minSamples || now.Sub(t.p.lease.renewedAt) > recentRenewalAge {
		// Keys released while the log is not writable would have no owner until it is.
		lim.MaxMoves = 0
	}
	return load, lim
}

// upstreamsWithoutResponse returns the eligible upstreams that recently did not
// respond to a grant. It may still take effect, so keys taken from them have no owner
// until it expires: 3 s instead of the duration of the requests in flight. With
// 6% of the responses lost, nine tenths of all load moves would wait that long.
func (t *term) upstreamsWithoutResponse(eligible []*catalogue.Upstream, now bootclock.Time) map[string]bool {
	out := map[string]bool{}
	for _, u := range eligible {
		srv := t.server(u.ID)
		if srv.hadNoResponse && now.Sub(srv.noResponseAt) <= t.p.opts.maxGrantValidity() {
			out[u.ID] = true
		}
	}
	return out
}

// loadMoveCount returns the number of load moves in progress. Moves off owners
// that are lost or leaving do not count, because balance is not their purpose:
// while 200 of them wait for grants to expire, no other owner could be relieved.
func (t *term) loadMoveCount() int {
	n := 0
	for _, m := range t.moves {
		if m.cause == causeLoad {
			n++
		}
	}
	return n
}

// moveToNewIncarnations moves the keys of ended incarnations to the newer
// incarnation of the same server, if one is in the view, and reports whether there
// are such keys. A late grant for the old incarnation can reach only the new one, which gets the keys at
// once; any other upstream would have to wait until the last grant has expired.
func (t *term) moveToNewIncarnations(now bootclock.Time) bool {
	found := false
	for _, r := range t.table.Ranges {
		if u := t.newerIncarnation(r.Owner); u != nil && !r.Unproven && !t.drainingOrCold(u) && !t.unavailable(u.ID, now) {
			t.startMove(ownership.Move{From: r.From, To: r.To, NewOwner: u.ID}, now)
			found = true
		}
	}
	return found
}

// awaitingRegistrations reports whether the service's upstreams are still
// registering before the first assignment. Without the wait the first ones
// would get all keys.
func (t *term) awaitingRegistrations(now bootclock.Time) bool {
	if !t.noKeyAssigned() {
		return false
	}
	reg := t.p.registrations[t.name]
	if reg.maxInView == 0 {
		return true
	}
	elapsed := now.Sub(reg.firstAt)
	return elapsed < minRegistrationWait || (now.Sub(reg.lastAt) < registrationQuiet && elapsed < maxRegistrationWait)
}

// noKeyAssigned reports whether no key has an owner.
func (t *term) noKeyAssigned() bool {
	return !slices.ContainsFunc(t.table.Ranges, func(r ownership.Range) bool { return r.Owner != "" })
}

// hasKeysNeedingNewOwner reports whether a range that is not being moved has no
// owner, or one that is not in the view, draining, cold while cold upstreams get no
// keys, or unavailable.
func (t *term) hasKeysNeedingNewOwner(now bootclock.Time) bool {
	for _, r := range t.table.Ranges {
		u := t.upstreams[r.Owner]
		if r.Unproven || (u != nil && !t.drainingOrCold(u) && !t.unavailable(r.Owner, now)) {
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

// startMove starts moving the keys of m that are not being moved yet. Moves in
// progress within its span get its new owner, because theirs may have been lost.
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
		return // the moves in a pending record must not change
	}
	for _, mv := range t.moves {
		if mv.from >= s.from && mv.to <= s.to {
			mv.dest = m.NewOwner
		}
	}
}

// mayStartMove reports whether a move of the range need not wait for grants of previous
// planners, or its owner is lost anyway. Released before its owner has acknowledged this
// term's token, which it does with its first grant, the range would have no owner until
// those grants cannot arrive any more and have expired.
func (t *term) mayStartMove(old ownership.Range, now bootclock.Time) bool {
	if old.Unproven {
		return false
	}
	if old.Owner == "" || old.FencingToken > t.firstFencingToken || now.Sub(t.previous.arrivalsUntilAt(old.Owner, t.p.maxHoldUp())) > t.p.opts.maxGrantValidity() {
		return true
	}
	srv := t.server(old.Owner)
	if t.upstreams[old.Owner] == nil || srv.unresponsive || t.hasEnded(old.Owner) {
		return true
	}
	return srv.incarnation == old.Owner && srv.acknowledgedTerm(span{old.From, old.To}, 0) && now.Sub(t.previous.dialsUntil()) > maxGrantDelay
}

// insertMove inserts m in the order of the keys.
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

// moveCause returns why keys of the owner must move. An upstream whose entry in
// the log has lapsed counts as leaving at first, because catalogue.Upstream keeps
// Leaving set while Unlisted is, and as gone once it is no longer in the view.
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
	case u.HandingOver(): // evacuated, as it has not reported that it is leaving
		return causeEvacuated
	case t.unavailable(owner, now):
		return causeUnresponsive
	case t.drainingOrCold(u):
		return causeCold // cold, as the cases above cover every draining upstream
	}
	return causeLoad
}

// cancelMovesOfReturnedOwners cancels the moves off owners that were lost, have an
// entry in the log again, and whose keys no other upstream has been granted. When the
// partition of a data centre heals, its upstreams respond up to a heartbeat before
// they have an entry again; moving a third of all keys off them would overload the others.
func (t *term) cancelMovesOfReturnedOwners(now bootclock.Time) {
	if t.pendingAppend != nil {
		return
	}
	t.moves = slices.DeleteFunc(t.moves, func(m *move) bool {
		u := t.upstreams[m.old.Owner]
		wasLeavingOrGone := m.cause == causeLeaving || m.cause == causeGone
		if !m.releaseFailed || m.releaseInFlight != nil || u == nil || t.drainingOrCold(u) || (!m.released && !wasLeavingOrGone) {
			return false
		}
		srv := t.server(u.ID)
		srv.unresponsive, srv.respondedAt = false, now
		return true
	})
	t.syncGrants(now)
}

// restoreOwner cancels the moves off an unresponsive upstream that responds again, and
// reports whether it did. No other upstream has been granted its keys, and perhaps
// only the responses to its grants were lost. Moves with a release in flight go on.
func (t *term) restoreOwner(id string, now bootclock.Time) bool {
	srv, u := t.server(id), t.upstreams[id]
	if !srv.unresponsive || u == nil || t.drainingOrCold(u) || t.pendingAppend != nil {
		return false
	}
	srv.unresponsive = false
	srv.respondedAt = now
	t.moves = slices.DeleteFunc(t.moves, func(m *move) bool { return m.old.Owner == id && m.releaseInFlight == nil })
	t.syncGrants(now)
	return true
}

// startExclusions no longer treats upstreams as unresponsive once they own no keys,
// and instead excludes them for a time that doubles with each exclusion. Otherwise
// an upstream that responds only intermittently would be given keys again and again,
// only to lose them.
func (t *term) startExclusions(now bootclock.Time) {
	owns := map[string]bool{}
	for _, r := range t.table.Ranges {
		owns[catalogue.ServerID(r.Owner)] = true
	}
	for server, srv := range t.servers {
		if !srv.unresponsive || owns[server] || srv.grantsInFlight > 0 {
			continue
		}
		srv.unresponsive = false
		srv.excludedUntil = now.Add(min(minExclusion<<min(srv.exclusions, 4), maxExclusion))
		srv.exclusions++
		srv.grantSent = false
	}
}
