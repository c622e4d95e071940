package planner

import (
	"errors"
	"sort"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/view"
)

// Planner is the state machine that runs on every host, whether or not the host
// is the planner. Its methods must be called from one goroutine. StepDown,
// BeginShutdown and Retire end or restrict planning; the Action LeaveElection
// only ends the host's membership in the election.
type Planner struct {
	opts Options
	// Load returns a service's load with the capacities of the given upstreams,
	// and the number of requests that the estimate rests on.
	Load func(service string, upstreams []*catalogue.Upstream) (ownership.Load, float64)
	// Limits configures rebalancing.
	Limits ownership.Limits
	// OnEvent is called with each event.
	OnEvent func(Event)
	// Cold reports whether an upstream is in its slow start and its capacity
	// therefore limited.
	Cold func(*catalogue.Upstream) bool
	// IdleTimeout returns the longest time for which upstreams keep idle connections open.
	IdleTimeout func() time.Duration

	lease plannerLease
	paths paths
	// startedAt is when this process first ticked; see startedBy.
	startedAt bootclock.Time
	// shuttingDown is set by BeginShutdown.
	shuttingDown bool
	// terms holds the current terms by service, while this host is the planner.
	terms map[string]*term
	// pastTerms holds each service's last ended term of this process.
	pastTerms map[string]*term
	histories map[string]*history
	// streamEnd is the last known end of the ownership stream.
	// streamEndUncertain is set when an append or a grant shows that the stream
	// may extend beyond it.
	streamEnd          metastore.Position
	streamEndUncertain bool
	// era is the log's, eraSeenAt when this host first saw it; see era.go.
	era       int64
	eraSeenAt bootclock.Time
	// closings holds the ends of this host's last terms of earlier eras, by service, until it
	// starts a term of the present one.
	closings map[string]*closing
	// plannerSeenAt is the time from which noPlannerTimeout counts: when another
	// planner was last seen, or since when this host would have seen one if
	// there was one.
	plannerSeenAt bootclock.Time
	// logUnreachable is set while this host's reads of the log service fail.
	logUnreachable bool
	// registrations holds the registration times by service.
	registrations map[string]registrations
	// addrs holds the addresses of the upstreams that are in the view addrsFrom or own keys, by ID.
	addrs     map[string]string
	addrsFrom *catalogue.Snapshot
}

// registrations records when a service's upstreams registered.
type registrations struct {
	// maxInView is the largest number of upstreams in the view at once; firstAt and
	// lastAt are when it first and last rose.
	maxInView       int
	firstAt, lastAt bootclock.Time
}

// Event is a state change or failure to be logged.
type Event struct {
	Kind     EventKind
	Service  string
	Upstream string
	Table    *ownership.Table
	Cause    string
	// Age is the time since the last lease renewal; in UpstreamLost events, the
	// time since the upstream last accepted or fenced a grant, or was first sent one.
	Age time.Duration
	// Remaining is how long the keys still wait.
	Remaining time.Duration
	Err       error
	// Suppressed is the number of events of this kind suppressed since the last one.
	Suppressed int
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	LeaseAcquired EventKind = iota
	LeaseLost
	TermStarted
	TermEnded
	TableRecorded
	RecordConflict
	// UpstreamLost: an upstream has become unresponsive (see the package comment).
	// There is no event for one that is gone.
	UpstreamLost
	GrantRejected
	ReleaseFailed
	// MoveBlocked: released keys wait for their next owner.
	MoveBlocked
	// MoveAwaitsGrants: keys of an owner that does not respond wait until no grant of a previous planner,
	// Event.Cause, can arrive any more.
	MoveAwaitsGrants
)

// New returns a Planner for a host that does not hold the lease yet.
func New(opts Options) *Planner {
	return &Planner{opts: opts, terms: map[string]*term{}, closings: map[string]*closing{}, pastTerms: map[string]*term{}, histories: map[string]*history{}, registrations: map[string]registrations{},
		Limits: ownership.Limits{HighWatermark: highWatermark, LowWatermark: lowWatermark, MaxMoves: baseLoadMoves},
		Load: func(_ string, upstreams []*catalogue.Upstream) (ownership.Load, float64) {
			return ownership.Load{Capacity: slotsByID(upstreams)}, 0
		},
		OnEvent: func(Event) {}, Cold: func(*catalogue.Upstream) bool { return false }, IdleTimeout: func() time.Duration { return 0 }}
}

func slotsByID(ups []*catalogue.Upstream) map[string]float64 {
	out := map[string]float64{}
	for _, u := range ups {
		out[u.ID] = float64(u.Slots)
	}
	return out
}

// StreamEnd returns the last known end of the ownership stream.
func (p *Planner) StreamEnd() metastore.Position { return p.streamEnd }

// AdvanceStreamEnd records that the ownership stream extends at least to end.
func (p *Planner) AdvanceStreamEnd(end metastore.Position) {
	if p.streamEnd.Before(end) {
		p.streamEnd, p.streamEndUncertain = end, false
	}
}

// Tick returns the calls to make now.
func (p *Planner) Tick(now bootclock.Time, v *view.View) []Action {
	p.startedBy(now)
	p.observeView(now, v)
	var out []Action
	if a := p.dueAcquireLease(now, v); a != nil {
		out = append(out, a)
	}
	out = append(out, p.dueClosingGrants(now)...)
	if p.shouldLeaveElection(now) {
		p.lease.member = false
		out = append(out, &LeaveElection{})
	}
	if !p.IsPlanner(now) {
		p.endTerms(now)
		return out
	}
	if v.Desired == nil {
		return out
	}
	for _, name := range v.Desired.KeyedServices() {
		out = append(out, p.tickService(now, name, v)...)
	}
	return out
}

// observeView updates registrations and histories, whether or not this host is the planner.
func (p *Planner) observeView(now bootclock.Time, v *view.View) {
	p.observeRegistrations(now, v)
	p.observeAddrs(v)
	for name, t := range v.Tables {
		hist := p.histories[name]
		if hist == nil {
			hist = &history{lostAt: map[string]bootclock.Time{}}
			p.histories[name] = hist
		}
		hist.observe(t, now)
	}
}

// observeAddrs records the addresses of the upstreams in the view. Those of owners that have left it
// are kept.
func (p *Planner) observeAddrs(v *view.View) {
	if v.Desired == nil || v.Upstreams == p.addrsFrom {
		return
	}
	p.addrsFrom = v.Upstreams
	addrs := map[string]string{}
	for _, name := range v.Desired.KeyedServices() {
		if t := v.Tables[name]; t != nil {
			for _, r := range t.Ranges {
				if addr, ok := p.addrs[r.Owner]; ok {
					addrs[r.Owner] = addr
				}
			}
		}
		for _, u := range v.Upstreams.ForService(name) {
			addrs[u.ID] = u.Addr
		}
	}
	p.addrs = addrs
}

// observeRegistrations records when each keyed service's upstreams register.
func (p *Planner) observeRegistrations(now bootclock.Time, v *view.View) {
	if v.Desired == nil {
		return
	}
	for _, name := range v.Desired.KeyedServices() {
		reg := p.registrations[name]
		inView := len(v.Upstreams.ForService(name))
		if inView <= reg.maxInView {
			continue
		}
		if reg.maxInView == 0 {
			reg.firstAt = now
		}
		reg.maxInView, reg.lastAt = inView, now
		p.registrations[name] = reg
	}
}

// endTerms ends all terms once this host may no longer act as the planner. A
// later term starts with a record of its own.
func (p *Planner) endTerms(now bootclock.Time) {
	for name := range p.terms {
		p.OnEvent(Event{Kind: TermEnded, Service: name, Age: now.Sub(p.lease.renewedAt)})
	}
	p.dropTerms()
}

// dropTerms ends the terms of all services. Started ones are kept as past
// terms, because they know which grants this host has sent.
func (p *Planner) dropTerms() {
	for name, t := range p.terms {
		if t.started {
			p.pastTerms[name] = t
		}
	}
	p.terms = map[string]*term{}
}

// tickService returns the calls to make for one service.
func (p *Planner) tickService(now bootclock.Time, name string, v *view.View) []Action {
	t := p.terms[name]
	if t == nil {
		t = newTerm(p, name)
		p.terms[name] = t
	}
	t.adoptTable(v.Tables[name], now)
	if !t.started && p.shuttingDown || t.isSuperseded() {
		return nil
	}
	if !t.started {
		return t.takeOver(now)
	}
	t.updateUpstreams(v, now)
	out := t.dueRetires(now)
	if !p.shuttingDown {
		t.planMoves(now)
		out = append(out, t.dueReleases(now)...)
	}
	out = append(out, t.dueGrants(now)...)
	if a := t.dueAppend(now); a != nil {
		out = append(out, a)
	}
	return out
}

// AppendDone handles the result of an Append. It returns the table if this host
// may use it already, or nil.
func (p *Planner) AppendDone(a *Append, end metastore.Position, err error, now bootclock.Time) *ownership.Table {
	t := p.terms[a.Table.Service]
	if t == nil || t.pendingAppend != a {
		return nil
	}
	switch {
	case err == nil:
		p.AdvanceStreamEnd(end)
		t.pendingAppend = nil
		p.OnEvent(Event{Kind: TableRecorded, Service: t.name, Table: a.Table, Cause: a.Cause})
		return a.Table
	case errors.Is(err, metastore.ErrConflict):
		p.streamEndUncertain = true
		t.pendingAppend = nil
		t.nextAppendAt = now.Add(appendRetryDelay)
		p.OnEvent(Event{Kind: RecordConflict, Service: t.name, Err: err})
	default:
		// The record may still be written, so the same append is retried until
		// the stream shows whether it was.
		p.streamEndUncertain = true
		t.nextAppendAt = now.Add(appendRetryDelay)
		t.appendNeedsRetry = true
	}
	return nil
}

// GrantDone handles the result of a Grant.
func (p *Planner) GrantDone(g *Grant, err error, now bootclock.Time) {
	g.server.recordResult(g, err, p.maxHoldUp(), now)
	if g.closing != nil {
		g.closing.grantDone(g, err)
		return
	}
	if t := p.terms[g.Service]; t != nil {
		t.grantDone(g, err, now)
	}
}

// ReleaseDone handles the result of a Release. handoverToken is the token that
// the old owner returned; see the package comment.
func (p *Planner) ReleaseDone(r *Release, handoverToken string, err error, now bootclock.Time) {
	if t := p.terms[r.Service]; t != nil {
		t.server(r.Range.Owner).route.record(r.Indirect, err, now)
		t.releaseDone(r, handoverToken, err, now)
	}
}

func sortedKeys[V any](m map[span]V) []span {
	out := make([]span, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].from < out[j].from })
	return out
}

// PlannerSeen records that another host is the planner.
func (p *Planner) PlannerSeen(now bootclock.Time) { p.plannerSeenAt = now }

// ObserveLog records whether this host's reads of the log service succeed. While they fail, it
// cannot know whether there is a planner.
func (p *Planner) ObserveLog(reachable bool) { p.logUnreachable = !reachable }

// LogReconnected records that this host reaches the log service again. It may
// have missed a planner during the outage, so noPlannerTimeout restarts.
func (p *Planner) LogReconnected(now bootclock.Time) { p.plannerSeenAt = now }

// LeaseMayMove brings the next lease request forward, because the planner did
// not respond or is no longer the planner, or because the members of the election
// have changed. The election reassigns the lease whenever a member joins or leaves;
// this host may hold it already and learns that only from its next request.
func (p *Planner) LeaseMayMove() {
	if earliest := p.lease.lastCompletedAt.Add(minAcquireInterval); !p.lease.held && earliest.Before(p.lease.nextRequestAt) {
		p.lease.nextRequestAt = earliest
	}
}

// BeginShutdown begins a planned shutdown: this host leaves the election and requests
// the lease no more. A planner starts no more moves but continues to renew its grants
// until its last lease renewal is older than MaxRenewalAge or it learns of a newer
// planner, so that no grant expires before the next planner renews it.
func (p *Planner) BeginShutdown() { p.shuttingDown = true }
