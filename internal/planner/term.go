package planner

import (
	"errors"
	"sort"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/view"
)

// span is a run of keys, both ends inclusive.
type span struct{ from, to int }

// term is one service's state while this host is the planner.
type term struct {
	p    *Planner
	name string
	// table is the one in force; nil before any is known.
	table *ownership.Table
	// started is set once this host's first record is in force; number is
	// that term's and startFence the token it put on every range.
	started           bool
	number            int64
	firstFencingToken int64
	// base is the table that the term's first record was made from, foreign
	// bounds what earlier planners may still send.
	base           *ownership.Table
	previousGrants previousGrants
	// baseTermSeenAt is when the term of base was first seen.
	baseTermSeenAt bootclock.Time
	// otherPlannerSeenAt is when a table of another planner's was last adopted.
	otherPlannerSeenAt bootclock.Time

	pendingAppend  *Append
	appendRetryDue bool
	nextAppendAt   bootclock.Time
	// lastRecordAt is when the last record was begun.
	lastRecordAt bootclock.Time

	// supersededAt is when an upstream showed that it has seen a later
	// planner's token. Until the seat is proved anew this host sends no
	// orders: each would only be refused.
	superseded   bool
	supersededAt bootclock.Time

	// upstreams are the lives that are listed, byServer the same by their servers.
	upstreams        map[string]*catalogue.Upstream
	upstreamByServer map[string]*catalogue.Upstream
	// warmUp is how long keys are slow that come without a handover.
	warmUp time.Duration
	// excludeCold is set while those in their slow start get no keys.
	excludeCold bool
	// servers are by server.
	servers      map[string]*serverState
	activeGrants map[span]*activeGrant
	// limiter holds the keys of lost owners back.
	limiter placementLimiter
	// moves are under way, in the order of their keys.
	moves []*move
	// nextRebalance is when load is looked at next, nextUrgent keys without owners.
	nextRebalance, nextOwnerlessCheck bootclock.Time
}

// activeGrant is one grant that is kept up.
type activeGrant struct {
	rng        ownership.Range
	nextSendAt bootclock.Time
	inFlight   bool
}

func newTerm(p *Planner, name string) *term {
	return &term{p: p, name: name, upstreams: map[string]*catalogue.Upstream{}, upstreamByServer: map[string]*catalogue.Upstream{},
		servers: map[string]*serverState{}, activeGrants: map[span]*activeGrant{}}
}

// server returns the account of the life's server.
func (t *term) server(incarnation string) *serverState {
	id := catalogue.ServerID(incarnation)
	srv := t.servers[id]
	if srv == nil {
		srv = &serverState{incarnation: incarnation}
		t.servers[id] = srv
	}
	return srv
}

// newerIncarnation returns the newer life of the owner's server, if one is listed:
// the owner has ended then.
func (t *term) newerIncarnation(owner string) *catalogue.Upstream {
	u := t.upstreamByServer[catalogue.ServerID(owner)]
	if u != nil && catalogue.IsLaterIncarnation(u.ID, owner) {
		return u
	}
	return nil
}

// adoptTable takes the table that the log has now.
func (t *term) adoptTable(latest *ownership.Table, now bootclock.Time) {
	if latest == nil || (t.table != nil && latest.MaxFencingToken <= t.table.MaxFencingToken) {
		return
	}
	if t.started && latest.Term != t.number {
		// Another planner has written: this host's term is over, though it
		// may hold the seat again.
		t.p.OnEvent(Event{Kind: TermEnded, Service: t.name, Table: latest})
		past := *t
		t.p.pastTerms[t.name] = &past
		*t = *newTerm(t.p, t.name)
	}
	t.table = latest
	if latest.Planner != t.p.opts.Host {
		t.otherPlannerSeenAt = now
	}
	if pending := t.pendingAppend; pending != nil && pending.Table.MaxFencingToken <= latest.MaxFencingToken {
		t.pendingAppend = nil
		t.appendRetryDue = false
	}
	if !t.started && latest.Planner == t.p.opts.Host && t.number != 0 && latest.Term == t.number {
		t.start(now)
	}
	t.dropFinishedMoves()
	t.syncGrants(now)
}

func (t *term) start(now bootclock.Time) {
	t.started = true
	t.firstFencingToken = t.table.MaxFencingToken
	t.previousGrants.planners = t.previousPlanners(now)
	if past := t.p.pastTerms[t.name]; past != nil && t.base != nil && past.number == t.base.Term {
		// No other planner was in between: those before are bounded as they
		// were, and this host's own grants are on the holders' accounts.
		t.previousGrants = past.previousGrants
		t.servers = past.servers
	}
	t.p.OnEvent(Event{Kind: TermStarted, Service: t.name, Table: t.table})
}

// takeOver returns the record that starts this host's term.
func (t *term) takeOver(now bootclock.Time) []Action {
	if t.pendingAppend != nil {
		return t.dueAppendRetry(now)
	}
	if now.Before(t.nextAppendAt) {
		return nil
	}
	if t.p.lease.renewedAt.Before(t.otherPlannerSeenAt) {
		// Another host has planned since the seat was proved. A host that
		// comes back from a cut may hold such a proof; a term started on it
		// would supersede the planner's, and be superseded in turn.
		t.p.lease.nextRequestAt = min(t.p.lease.nextRequestAt, now)
		return nil
	}
	base := t.table
	if base == nil {
		// The first record divides nothing yet. It shows the other hosts whom
		// to follow, before each of them has read the log for itself.
		base = ownership.NewTable(t.name)
	}
	next := base.TakeOver(t.p.opts.Host, t.p.opts.PeerAddr)
	t.number = next.Term
	t.base = t.table
	if t.base != nil {
		t.baseTermSeenAt = t.p.histories[t.name].termSeenAt(t.base, now)
	}
	t.previousGrants.lostBounds = t.p.histories[t.name].lostBounds(t.base, &t.p.opts)
	next.Cause = "new planner"
	t.pendingAppend = &Append{Table: next, ExpectedOffset: t.p.streamEnd, Cause: next.Cause}
	return []Action{t.pendingAppend}
}

// dueAppendRetry repeats an append whose outcome is not known.
func (t *term) dueAppendRetry(now bootclock.Time) []Action {
	if !t.appendRetryDue || now.Before(t.nextAppendAt) {
		return nil
	}
	t.appendRetryDue = false
	return []Action{t.pendingAppend}
}

// updateUpstreams takes in the upstreams that are listed.
func (t *term) updateUpstreams(v *view.View, now bootclock.Time) {
	clear(t.upstreams)
	clear(t.upstreamByServer)
	for _, u := range v.Upstreams.ForService(t.name) {
		t.upstreams[u.ID] = u
		t.upstreamByServer[catalogue.ServerID(u.ID)] = u
		if srv := t.server(u.ID); catalogue.IsLaterIncarnation(u.ID, srv.incarnation) {
			srv.startIncarnation(u.ID, now)
		}
	}
	t.excludeCold = t.enoughWarm()
	t.warmUp = v.Desired.Services[t.name].WarmUp
}

// enoughWarm reports whether at least half of the upstreams that may own keys
// are through with their slow start. A cold one is asked for what its keys are
// asked for, which hosts that do not hear of each other cannot divide among
// them as they do requests that any upstream serves: they could only refuse
// most. So keys wait with others until it is warm.
func (t *term) enoughWarm() bool {
	warm, cold := 0, 0
	for _, u := range t.upstreams {
		switch {
		case u.Draining():
		case t.p.Cold(u):
			cold++
		default:
			warm++
		}
	}
	return warm >= cold
}

// ineligible reports whether an upstream that is listed may own no keys now, however
// well it answers.
func (t *term) ineligible(u *catalogue.Upstream) bool {
	return u.Draining() || (t.excludeCold && t.p.Cold(u))
}

// eligibleOwners returns the upstreams that may own keys.
func (t *term) eligibleOwners(now bootclock.Time) []*catalogue.Upstream {
	var out []*catalogue.Upstream
	for _, u := range t.upstreams {
		if !t.ineligible(u) && !t.excluded(u.ID, now) {
			out = append(out, u)
		}
	}
	return out
}

func (t *term) excluded(id string, now bootclock.Time) bool {
	srv := t.server(id)
	return srv.lost || now.Before(srv.excludedUntil)
}

// syncGrants makes the leases cover the owned ranges of the table less the
// spans that are being moved.
func (t *term) syncGrants(now bootclock.Time) {
	if !t.started {
		return
	}
	wanted := map[span]ownership.Range{}
	for _, r := range t.table.Ranges {
		if r.Owner == "" {
			continue
		}
		for _, s := range t.subtractMoves(span{r.From, r.To}) {
			rng := r
			rng.From, rng.To = s.from, s.to
			wanted[s] = rng
		}
	}
	for s, ag := range t.activeGrants {
		if w, ok := wanted[s]; !ok || w.Owner != ag.rng.Owner || w.FencingToken != ag.rng.FencingToken {
			delete(t.activeGrants, s)
		}
	}
	for s, r := range wanted {
		if t.activeGrants[s] == nil {
			t.activeGrants[s] = &activeGrant{rng: r, nextSendAt: now}
		}
	}
}

// subtractMoves cuts the spans that are being moved out of s.
func (t *term) subtractMoves(s span) []span {
	var out []span
	from := s.from
	first := sort.Search(len(t.moves), func(i int) bool { return t.moves[i].to >= s.from })
	for _, m := range t.moves[first:] {
		if m.from > s.to {
			break
		}
		if m.from > from {
			out = append(out, span{from, m.from - 1})
		}
		from = m.to + 1
	}
	if from <= s.to {
		out = append(out, span{from, s.to})
	}
	return out
}

// dueGrants returns the grants and renewals that are due.
func (t *term) dueGrants(now bootclock.Time) []Action {
	var out []Action
	for _, s := range sortedKeys(t.activeGrants) {
		ag := t.activeGrants[s]
		u := t.upstreams[ag.rng.Owner]
		if ag.inFlight || now.Before(ag.nextSendAt) || u == nil || t.server(ag.rng.Owner).lost || t.table.IsLost(ag.rng.Owner) {
			continue
		}
		srv := t.server(u.ID)
		if srv.grantsInFlight == 0 && !srv.grantSent {
			srv.answeredAt = now
		}
		srv.grantsInFlight++
		srv.grantSent = true
		ag.inFlight = true
		out = append(out, &Grant{Service: t.name, Addr: u.Addr, Range: ag.rng, TTL: t.p.opts.GrantTTL, SentAt: now,
			ExistingConnOnly: now.Sub(t.p.lease.renewedAt) > maxLeaseAge, server: srv})
	}
	return out
}

// grantDone takes in the result of a grant, which may be one of an earlier term; its
// holder's account has it already.
func (t *term) grantDone(g *Grant, err error, now bootclock.Time) {
	srv := g.server
	s := span{g.Range.From, g.Range.To}
	ag := t.activeGrants[s]
	if ag != nil && ag.rng.FencingToken == g.Range.FencingToken {
		ag.inFlight = false
		ag.nextSendAt = g.SentAt.Add(t.p.opts.GrantTTL / renewalsPerTTL)
	}
	switch {
	case err == nil:
		return
	case errors.Is(err, ownership.ErrFenced):
		t.markSuperseded(g.Range, now, err)
	case errors.Is(err, ownership.ErrRejected):
		t.emitFailure(GrantRejected, g.Range.Owner, err, now)
	}
	if ag != nil {
		ag.nextSendAt = now.Add(grantRetryDelay)
	}
	if !srv.lost && !srv.forPastIncarnation(g) && now.Sub(srv.answeredAt) > time.Duration(lostAfterFraction*float64(t.p.opts.GrantTTL)) {
		srv.lost = true
		t.p.OnEvent(Event{Kind: UpstreamLost, Service: t.name, Upstream: g.Range.Owner, Age: now.Sub(srv.answeredAt), Err: err})
	}
}

// emitFailure tells of an order that failed, once in noteEvery for each
// upstream and kind: an owner of a hundred ranges fails a hundred orders at
// once, and again with each retry.
func (t *term) emitFailure(k EventKind, upstream string, err error, now bootclock.Time) {
	srv := t.server(upstream)
	throttle := srv.throttles[k]
	if throttle.emittedAt != 0 && now.Sub(throttle.emittedAt) < failureEventInterval {
		throttle.suppressed++
		srv.throttles[k] = throttle
		return
	}
	t.p.OnEvent(Event{Kind: k, Service: t.name, Upstream: upstream, Err: err, Suppressed: throttle.suppressed})
	if srv.throttles == nil {
		srv.throttles = map[EventKind]eventThrottle{}
	}
	srv.throttles[k] = eventThrottle{emittedAt: now}
}

// markSuperseded takes note that an upstream has seen a higher token than that of a
// grant in force: another planner is at work, whose record has not reached
// this host. It must read the ownership stream again to learn of it.
func (t *term) markSuperseded(r ownership.Range, now bootclock.Time, err error) {
	if t.table.Find(r.From).FencingToken != r.FencingToken {
		return // a grant from before a move of this host's own
	}
	if !t.superseded {
		t.emitFailure(GrantRejected, r.Owner, err, now)
	}
	t.superseded, t.supersededAt = true, now
	t.p.streamEndUncertain = true
}

// isSuperseded reports whether the term is superseded and the seat has not
// been proved since.
func (t *term) isSuperseded() bool {
	if t.superseded && t.supersededAt.Before(t.p.lease.renewedAt) {
		t.superseded = false
	}
	return t.superseded
}
