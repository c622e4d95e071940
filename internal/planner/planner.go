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

// Planner is the state machine. All methods are called by one goroutine.
type Planner struct {
	opts Options
	// Load returns what callers ask of a service, with the capacity of the
	// upstreams named, and how many requests it rests on.
	Load func(service string, owners []*catalogue.Upstream) (ownership.Load, float64)
	// Limits shape rebalancing.
	Limits ownership.Limits
	// OnEvent is told of each change of the planner's belief.
	OnEvent func(Event)
	// Cold reports whether an upstream is in its slow start and bears only so
	// many requests meanwhile.
	Cold func(*catalogue.Upstream) bool

	lease    plannerLease
	resigned bool
	services map[string]*term
	// pastTerms is each service's last term of this process.
	pastTerms map[string]*term
	histories map[string]*history
	// streamEnd is where the ownership stream ends, as far as is known; endDoubted
	// is set while an append or an order has shown that it may end further on.
	streamEnd          int64
	streamEndUncertain bool
	// plannerSeenAt is when another host was last seen to plan.
	plannerSeenAt bootclock.Time
	// registrations is when each service's upstreams registered.
	registrations map[string]registrations
}

// registrations is when a service's upstreams were seen to register.
type registrations struct {
	// maxListed is the most that were listed at once; first and last are when the
	// first of them was seen and when the last.
	maxListed       int
	firstAt, lastAt bootclock.Time
}

// Event is a change of belief, for the log.
type Event struct {
	Kind     EventKind
	Service  string
	Upstream string
	Table    *ownership.Table
	Cause    string
	Age      time.Duration
	Err      error
	// Suppressed is how many events of the kind were not told since the last.
	Suppressed int
}

// EventKind names an Event.
type EventKind int

// Kinds of events.
const (
	LeaseAcquired EventKind = iota
	LeaseLost
	TermStarted
	TermEnded
	TableRecorded
	RecordConflict
	UpstreamLost
	GrantRejected
	ReleaseFailed
)

type plannerLease struct {
	held       bool
	acquiredAt bootclock.Time
	// member is set from the first proof sent to the end of the membership.
	member          bool
	renewedAt       bootclock.Time
	requestInFlight bool
	// lastAnswerAt is when the last proof was answered, nextJoin when the next
	// is due.
	lastAnswerAt, nextRequestAt bootclock.Time
}

// New returns a planner that holds no seat.
func New(opts Options) *Planner {
	return &Planner{opts: opts, services: map[string]*term{}, pastTerms: map[string]*term{}, histories: map[string]*history{}, registrations: map[string]registrations{},
		Limits: ownership.Limits{HighWatermark: highWatermark, LowWatermark: lowWatermark, MaxMoves: maxMoves},
		Load: func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
			return ownership.Load{Capacity: slotsByID(owners)}, 0
		},
		OnEvent: func(Event) {}, Cold: func(*catalogue.Upstream) bool { return false }}
}

func slotsByID(ups []*catalogue.Upstream) map[string]float64 {
	out := map[string]float64{}
	for _, u := range ups {
		out[u.ID] = float64(u.Slots)
	}
	return out
}

// AdvanceStreamEnd tells the planner how far the ownership stream was read.
func (p *Planner) AdvanceStreamEnd(end int64) {
	if end > p.streamEnd {
		p.streamEnd, p.streamEndUncertain = end, false
	}
}

// HoldsLease reports whether this host may act as the planner now.
func (p *Planner) HoldsLease(now bootclock.Time) bool {
	return p.lease.held && now.Sub(p.lease.renewedAt) <= p.opts.MaxViewAge
}

// SoleWriter reports whether the ownership stream holds nothing that this host
// has not written itself: the seat was proved lately, is not being given up,
// every append was answered and no order refused for a higher token. After a
// lost answer only reading tells where the stream ends; without it each
// further append would be refused.
func (p *Planner) SoleWriter(now bootclock.Time) bool {
	return p.HoldsLease(now) && !p.resigned && !p.streamEndUncertain && now.Sub(p.lease.renewedAt) <= maxLeaseAge
}

// Tick returns the calls to make now.
func (p *Planner) Tick(now bootclock.Time, v *view.View) []Action {
	p.observeView(now, v)
	var out []Action
	if a := p.dueAcquireLease(now, v); a != nil {
		out = append(out, a)
	}
	if p.shouldReleaseLease(now) {
		p.lease.member = false
		out = append(out, &ReleaseLease{})
	}
	if !p.HoldsLease(now) {
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

// observeView keeps the histories, whether this host plans or not.
func (p *Planner) observeView(now bootclock.Time, v *view.View) {
	p.observeRegistrations(now, v)
	for name, t := range v.Tables {
		hist := p.histories[name]
		if hist == nil {
			hist = &history{lostAt: map[string]bootclock.Time{}}
			p.histories[name] = hist
		}
		hist.observe(t, now)
	}
}

// observeRegistrations notes when each keyed service's upstreams register.
func (p *Planner) observeRegistrations(now bootclock.Time, v *view.View) {
	if v.Desired == nil {
		return
	}
	for _, name := range v.Desired.KeyedServices() {
		reg := p.registrations[name]
		listed := len(v.Upstreams.ForService(name))
		if listed <= reg.maxListed {
			continue
		}
		if reg.maxListed == 0 {
			reg.firstAt = now
		}
		reg.maxListed, reg.lastAt = listed, now
		p.registrations[name] = reg
	}
}

// dueAcquireLease returns the next proof of the seat if it is due.
func (p *Planner) dueAcquireLease(now bootclock.Time, v *view.View) Action {
	if p.resigned || p.lease.requestInFlight || now.Before(p.lease.nextRequestAt) || v.Desired == nil || len(v.Desired.KeyedServices()) == 0 {
		return nil
	}
	if p.plannerSeenAt == 0 || !p.plannerExpected(now, v) {
		p.plannerSeenAt = now // a planner may be about to show itself
	}
	if !p.opts.Candidate && !p.lease.held && now.Sub(p.plannerSeenAt) < noPlannerTimeout {
		return nil
	}
	p.lease.requestInFlight, p.lease.member = true, true
	ttl := p.opts.LeaseTTL
	if !p.lease.held {
		ttl *= 2
	}
	return &AcquireLease{TTL: ttl, SentAt: now}
}

// shouldReleaseLease reports whether this host is a member of the group and has no
// more use for the seat: it resigned, or is weak and sees another host plan.
// A member that merely stops its proofs may be dealt the seat until it lapses,
// and nobody plans meanwhile: 2.6 s were seen.
func (p *Planner) shouldReleaseLease(now bootclock.Time) bool {
	if !p.lease.member || p.lease.requestInFlight {
		return false
	}
	return p.resigned || (!p.opts.Candidate && !p.lease.held && now.Sub(p.plannerSeenAt) < noPlannerTimeout)
}

// plannerExpected reports whether a planner would have shown itself by now, if there
// were one. Where 85 weak hosts sought the seat because there was no table
// yet, one of them got it at the start of every fleet.
func (p *Planner) plannerExpected(now bootclock.Time, v *view.View) bool {
	if len(v.Tables) > 0 {
		return true
	}
	for _, reg := range p.registrations {
		if now.Sub(reg.firstAt) > minRegistrationWait {
			return true
		}
	}
	return false
}

// ShouldStepDown reports whether this host plans, though it is not eager, and
// can give the seat up now. It first plans for giveWayAfter seats' times to
// live: by then the other weak hosts have seen a planner, their memberships
// have lapsed, and the seat goes to a strong one.
func (p *Planner) ShouldStepDown(now bootclock.Time) bool {
	heldLongEnough := now.Sub(p.lease.acquiredAt) > time.Duration(stepDownAfterTTLs*float64(p.opts.LeaseTTL))
	return !p.opts.Candidate && p.HoldsLease(now) && !p.lease.requestInFlight && heldLongEnough
}

// StepDown ends this host's planning in favour of a stronger one. What it
// granted outlives the change: grants last Hold, the successor renews them
// within one pause between its proofs of the seat.
func (p *Planner) StepDown(now bootclock.Time) {
	p.OnEvent(Event{Kind: LeaseLost, Cause: "a stronger host is there", Age: now.Sub(p.lease.renewedAt)})
	p.lease.held = false
	p.plannerSeenAt = now
	p.dropTerms()
}

// AcquireLeaseDone takes a Join's answer: whether this host holds the seat.
func (p *Planner) AcquireLeaseDone(a *AcquireLease, held bool, err error, now bootclock.Time) {
	p.lease.requestInFlight = false
	p.lease.lastAnswerAt = now
	fraction := acquireFraction
	if p.lease.held {
		fraction = renewFraction
	}
	p.lease.nextRequestAt = now.Add(time.Duration(fraction * float64(p.opts.LeaseTTL)))
	if err != nil {
		return
	}
	switch {
	case held && !p.lease.held:
		p.OnEvent(Event{Kind: LeaseAcquired})
		p.lease.acquiredAt = now
		p.lease.nextRequestAt = now.Add(time.Duration(renewFraction * float64(p.opts.LeaseTTL)))
	case !held && p.lease.held:
		p.OnEvent(Event{Kind: LeaseLost, Age: now.Sub(p.lease.renewedAt)})
		p.dropTerms()
	}
	p.lease.held = held
	if held {
		p.lease.renewedAt = a.SentAt
	}
}

// endTerms forgets the terms once the seat is no longer proved. A later
// term starts with a record of its own.
func (p *Planner) endTerms(now bootclock.Time) {
	for name := range p.services {
		p.OnEvent(Event{Kind: TermEnded, Service: name, Age: now.Sub(p.lease.renewedAt)})
	}
	p.dropTerms()
}

// dropTerms ends the terms of all services. Those that had started are kept
// as past ones: what this host itself has sent it need not guess.
func (p *Planner) dropTerms() {
	for name, t := range p.services {
		if t.started {
			p.pastTerms[name] = t
		}
	}
	p.services = map[string]*term{}
}

// tickService returns the calls for one service.
func (p *Planner) tickService(now bootclock.Time, name string, v *view.View) []Action {
	t := p.services[name]
	if t == nil {
		t = newTerm(p, name)
		p.services[name] = t
	}
	t.adoptTable(v.Tables[name], now)
	if !t.started && p.resigned || t.isSuperseded() {
		return nil
	}
	if !t.started {
		return t.takeOver(now)
	}
	t.updateUpstreams(v, now)
	out := t.dueRetires(now)
	if !p.resigned {
		t.planMoves(now)
		out = append(out, t.dueReleases(now)...)
	}
	out = append(out, t.dueGrants(now)...)
	if a := t.dueAppend(now); a != nil {
		out = append(out, a)
	}
	return out
}

// AppendDone takes an Append's result. It reports the table if this host
// may already use it.
func (p *Planner) AppendDone(a *Append, end int64, err error, now bootclock.Time) *ownership.Table {
	t := p.services[a.Table.Service]
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
		// The record may be written yet, so the same one is sent again
		// until the log says which.
		p.streamEndUncertain = true
		t.nextAppendAt = now.Add(appendRetryDelay)
		t.appendRetryDue = true
	}
	return nil
}

// GrantDone takes a Grant's result.
func (p *Planner) GrantDone(g *Grant, err error, now bootclock.Time) {
	g.server.recordResult(g, err, now)
	if t := p.services[g.Service]; t != nil {
		t.grantDone(g, err, now)
	}
}

// ReleaseDone takes a Release's result.
func (p *Planner) ReleaseDone(r *Release, handover string, err error, now bootclock.Time) {
	if t := p.services[r.Service]; t != nil {
		t.releaseDone(r, handover, err, now)
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

// PlannerSeen tells that another host plans.
func (p *Planner) PlannerSeen(now bootclock.Time) { p.plannerSeenAt = now }

// LogReconnected tells that the log service was lost to this host and is back.
// That it saw no planner meanwhile says nothing.
func (p *Planner) LogReconnected(now bootclock.Time) { p.plannerSeenAt = now }

// PlannerLost tells that the planner did not answer or is none any more. The
// seat may be this host's already, which only its next proof tells it: the
// group deals seats anew whenever a member joins or leaves.
func (p *Planner) PlannerLost() {
	if earliest := p.lease.lastAnswerAt.Add(minAcquireInterval); !p.lease.held && earliest.Before(p.lease.nextRequestAt) {
		p.lease.nextRequestAt = earliest
	}
}

// Resign makes the planner seek its seat no more, for a planned stop. It goes
// on renewing what it granted, for as long as its last proof allows or until
// its successor's token is seen, so that no lease runs out before the
// successor has renewed it; but it moves no more keys.
func (p *Planner) Resign() { p.resigned = true }
