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

// span is a contiguous run of keys, both ends inclusive.
type span struct{ from, to int }

// term is the state of one service while this host is the planner.
type term struct {
	p    *Planner
	name string
	// table is the current table, the newest that is known, or nil if none is.
	table *ownership.Table
	// started is set once the term's first record has been adopted. number is the
	// number of the term and firstFencingToken the token that its first record
	// put on every range.
	started           bool
	number            int64
	firstFencingToken int64
	// base is the table that the term's first record was made from.
	// previous holds the deadlines for the grants of previous planners.
	base     *ownership.Table
	previous previousPlanners
	// baseTermSeenAt is when the term of base was first seen.
	baseTermSeenAt bootclock.Time
	// otherPlannerSeenAt is when a table of another planner was last adopted.
	otherPlannerSeenAt bootclock.Time

	// logReturned is set if the log has returned from an older copy since the term of base began.
	// closing is the closing of the last planner's term, for which closingRequest asks until
	// closingUntil.
	logReturned                      bool
	closing                          *ownership.Table
	closingRequest                   *Retire
	closingUntil, nextClosingRequest bootclock.Time

	// pendingAppend is the append whose outcome is not known yet, or nil.
	// appendNeedsRetry is set while it is neither in flight nor known to have
	// succeeded or failed; nextAppendAt is the earliest time of the retry, or of
	// the next append.
	pendingAppend    *Append
	appendNeedsRetry bool
	nextAppendAt     bootclock.Time
	// blockedReportedAt is when reportBlocked emitted its last event.
	blockedReportedAt bootclock.Time
	// lastRecordAt is when the last append other than the term's first was started.
	lastRecordAt bootclock.Time

	// superseded is set while an upstream is known to have seen a newer planner's
	// token, supersededAt is when it last showed that. Until the lease is renewed
	// this host makes no calls for the service: all would be rejected.
	superseded   bool
	supersededAt bootclock.Time

	// upstreams holds the upstreams in the view by incarnation ID (Upstream.ID),
	// upstreamByServer by server ID, which all incarnations of a server share. An
	// upstream stays in the view for a while after its entry in the log has lapsed.
	upstreams        map[string]*catalogue.Upstream
	upstreamByServer map[string]*catalogue.Upstream
	// warmUp is how long requests for keys are slow after a move without a handover.
	warmUp time.Duration
	// excludeCold is set while upstreams in their slow start get no keys.
	excludeCold bool
	// servers is keyed by server ID.
	servers      map[string]*serverState
	activeGrants map[span]*activeGrant
	// limiter delays the reassignment of lost owners' keys.
	limiter reassignmentLimiter
	// moves are the moves in progress, in the order of their keys.
	moves []*move
	// nextRebalance is when load is checked next, nextNewOwnerCheck when keys that
	// need a new owner are.
	nextRebalance, nextNewOwnerCheck bootclock.Time
	// nextLostRetry is when grants to lost owners may be tried again; see retryLostOwners.
	nextLostRetry bootclock.Time
}

// activeGrant is a grant that is renewed for as long as it is wanted.
type activeGrant struct {
	rng        ownership.Range
	nextSendAt bootclock.Time
	inFlight   bool
}

func newTerm(p *Planner, name string) *term {
	return &term{p: p, name: name, upstreams: map[string]*catalogue.Upstream{}, upstreamByServer: map[string]*catalogue.Upstream{},
		servers: map[string]*serverState{}, activeGrants: map[span]*activeGrant{}}
}

// server returns the state of the incarnation's server.
func (t *term) server(incarnation string) *serverState {
	id := catalogue.ServerID(incarnation)
	srv := t.servers[id]
	if srv == nil {
		srv = &serverState{incarnation: incarnation}
		t.servers[id] = srv
	}
	return srv
}

// newerIncarnation returns the newer incarnation of the owner's server in the
// view, or nil. If there is one, the owner has ended.
func (t *term) newerIncarnation(owner string) *catalogue.Upstream {
	u := t.upstreamByServer[catalogue.ServerID(owner)]
	if u != nil && catalogue.IsLaterIncarnation(u.ID, owner) {
		return u
	}
	return nil
}

// adoptTable makes the latest table from the log the current one if it is newer.
func (t *term) adoptTable(latest *ownership.Table, now bootclock.Time) {
	if latest == nil || (t.table != nil && latest.MaxFencingToken <= t.table.MaxFencingToken) {
		return
	}
	if t.started && latest.Term != t.number {
		// Another planner has written: this host's term has ended, even if the
		// host holds the lease again.
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
		t.appendNeedsRetry = false
	}
	if !t.started && latest.Planner == t.p.opts.Host && t.number != 0 && latest.Term == t.number {
		t.start(now)
	}
	t.dropFinishedMoves()
	t.syncGrants(now)
}

// updateUpstreams reads the upstreams from the view.
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
	t.warmUp = v.Desired.Services[t.name].KeyWarmUp
}

// enoughWarm reports whether at least half of the upstreams that are not
// draining have finished their slow start; cold ones then get no keys. A cold
// owner would receive every request for its keys, and hosts, which do not
// coordinate its limited capacity, would have to refuse most of them.
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

// drainingOrCold reports whether an upstream may own no keys now, even if
// it responds, because it is draining, or cold while cold upstreams get no keys.
func (t *term) drainingOrCold(u *catalogue.Upstream) bool {
	return u.Draining() || (t.excludeCold && t.p.Cold(u))
}

// eligibleUpstreams returns the upstreams that may own keys: all that are neither
// drainingOrCold nor unavailable.
func (t *term) eligibleUpstreams(now bootclock.Time) []*catalogue.Upstream {
	var out []*catalogue.Upstream
	for _, u := range t.upstreams {
		if !t.drainingOrCold(u) && !t.unavailable(u.ID, now) {
			out = append(out, u)
		}
	}
	return out
}

// unavailable reports whether the upstream is unresponsive, or excluded because
// it was.
func (t *term) unavailable(id string, now bootclock.Time) bool {
	srv := t.server(id)
	return srv.unresponsive || now.Before(srv.excludedUntil)
}

// syncGrants makes the active grants cover the owned ranges of the table,
// except the spans that are being moved.
func (t *term) syncGrants(now bootclock.Time) {
	if !t.started {
		return
	}
	wanted := map[span]ownership.Range{}
	for _, r := range t.table.Ranges {
		if r.Owner == "" || r.Unproven {
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

// subtractMoves returns the parts of s that are not being moved.
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

// dueGrants returns the grants and renewals to send now.
func (t *term) dueGrants(now bootclock.Time) []Action {
	var out []Action
	for _, s := range sortedKeys(t.activeGrants) {
		ag := t.activeGrants[s]
		u := t.upstreams[ag.rng.Owner]
		if ag.inFlight || now.Before(ag.nextSendAt) || u == nil || t.server(ag.rng.Owner).unresponsive || t.table.IsLost(ag.rng.Owner) {
			continue
		}
		srv := t.server(u.ID)
		if srv.grantsInFlight == 0 && !srv.grantSent {
			srv.respondedAt = now
		}
		srv.grantsInFlight++
		srv.grantSent = true
		ag.inFlight = true
		existingConnOnly := now.Sub(t.p.lease.renewedAt) > recentRenewalAge
		out = append(out, &Grant{Service: t.name, Addr: u.Addr, Range: ag.rng, TTL: t.p.opts.GrantTTL, DecidedAt: now,
			ExistingConnOnly: existingConnOnly, Indirect: !existingConnOnly && srv.route.next(t.p.paths, now), server: srv})
	}
	return out
}

// grantDone handles the result of a grant, possibly of an earlier term. Its
// server's state already includes the result.
func (t *term) grantDone(g *Grant, err error, now bootclock.Time) {
	srv := g.server
	s := span{g.Range.From, g.Range.To}
	ag := t.activeGrants[s]
	if ag != nil && ag.rng.FencingToken == g.Range.FencingToken {
		ag.inFlight = false
		ag.nextSendAt = g.DecidedAt.Add(t.p.opts.GrantTTL / renewalsPerTTL)
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
		ag.nextSendAt = now.Add(srv.route.retryDelay(t.p.paths, err, now))
	}
	if !srv.unresponsive && !srv.forPastIncarnation(g) && srv.route.failed(t.p.paths) && now.Sub(srv.respondedAt) > time.Duration(unresponsiveAfterFraction*float64(t.p.opts.GrantTTL)) {
		srv.unresponsive = true
		t.p.OnEvent(Event{Kind: UpstreamLost, Service: t.name, Upstream: g.Range.Owner, Age: now.Sub(srv.respondedAt), Err: err})
	}
}

// emitFailure emits an event for a failed call, at most once per
// failureEventInterval for each upstream and kind: an owner of a hundred ranges
// fails a hundred calls at once, and again with each retry.
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

// markSuperseded handles a grant that an upstream rejected because it has seen
// a higher token. If the grant's token is still the one in the current table,
// there is a newer planner whose record has not reached this host, so the
// ownership stream must be read again.
func (t *term) markSuperseded(r ownership.Range, now bootclock.Time, err error) {
	if t.table.Find(r.From).FencingToken != r.FencingToken {
		return // the grant predates one of this host's own moves
	}
	if !t.superseded {
		t.emitFailure(GrantRejected, r.Owner, err, now)
	}
	t.superseded, t.supersededAt = true, now
	t.p.streamEndUncertain = true
}

// isSuperseded reports whether the term is superseded and the lease has not
// been renewed since.
func (t *term) isSuperseded() bool {
	if t.superseded && t.supersededAt.Before(t.p.lease.renewedAt) {
		t.superseded = false
	}
	return t.superseded
}
