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
	// Note is told of each change of the planner's belief.
	Note func(Event)
	// Cold reports whether an upstream is in its slow start and bears only so
	// many requests meanwhile.
	Cold func(*catalogue.Upstream) bool

	seat     seat
	resigned bool
	services map[string]*term
	// past is each service's last term of this process.
	past      map[string]*term
	histories map[string]*history
	// end is where the ownership stream ends, as far as is known; endDoubted
	// is set while an append or an order has shown that it may end further on.
	end        int64
	endDoubted bool
	// plannerSeenAt is when another host was last seen to plan.
	plannerSeenAt bootclock.Time
	// arrivals is when each service's upstreams registered.
	arrivals map[string]arrivals
}

// arrivals is when a service's upstreams were seen to register.
type arrivals struct {
	// known is the most that were listed at once; first and last are when the
	// first of them was seen and when the last.
	known       int
	first, last bootclock.Time
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
	// Untold is how many events of the kind were not told since the last.
	Untold int
}

// EventKind names an Event.
type EventKind int

// Kinds of events.
const (
	SeatTaken EventKind = iota
	SeatLost
	TermStarted
	TermEnded
	TableRecorded
	RecordConflict
	UpstreamLost
	GrantRefused
	ReleaseFailed
)

type seat struct {
	held    bool
	takenAt bootclock.Time
	// member is set from the first proof sent to the end of the membership.
	member   bool
	provenAt bootclock.Time
	joining  bool
	// joinedAt is when the last proof was answered, nextJoin when the next
	// is due.
	joinedAt, nextJoin bootclock.Time
}

// New returns a planner that holds no seat.
func New(opts Options) *Planner {
	return &Planner{opts: opts, services: map[string]*term{}, past: map[string]*term{}, histories: map[string]*history{}, arrivals: map[string]arrivals{},
		Limits: ownership.Limits{Trigger: trigger, Settle: settleAt, MaxMoves: maxMoves},
		Load: func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
			return ownership.Load{Capacity: slotsOf(owners)}, 0
		},
		Note: func(Event) {}, Cold: func(*catalogue.Upstream) bool { return false }}
}

func slotsOf(ups []*catalogue.Upstream) map[string]float64 {
	out := map[string]float64{}
	for _, u := range ups {
		out[u.ID] = float64(u.Slots)
	}
	return out
}

// StreamEnd tells the planner how far the ownership stream was read.
func (p *Planner) StreamEnd(end int64) {
	if end > p.end {
		p.end, p.endDoubted = end, false
	}
}

// Holding reports whether this host may act as the planner now.
func (p *Planner) Holding(now bootclock.Time) bool {
	return p.seat.held && now.Sub(p.seat.provenAt) <= p.opts.ViewAge
}

// SoleWriter reports whether the ownership stream holds nothing that this host
// has not written itself: the seat was proved lately, is not being given up,
// every append was answered and no order refused for a higher token. After a
// lost answer only reading tells where the stream ends; without it each
// further append would be refused.
func (p *Planner) SoleWriter(now bootclock.Time) bool {
	return p.Holding(now) && !p.resigned && !p.endDoubted && now.Sub(p.seat.provenAt) <= freshSeat
}

// Tick returns the calls to make now.
func (p *Planner) Tick(now bootclock.Time, v *view.View) []Action {
	p.watch(now, v)
	var out []Action
	if j := p.join(now, v); j != nil {
		out = append(out, j)
	}
	if p.shouldLeave(now) {
		p.seat.member = false
		out = append(out, &Leave{})
	}
	if !p.Holding(now) {
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

// watch keeps the histories, whether this host plans or not.
func (p *Planner) watch(now bootclock.Time, v *view.View) {
	p.watchServices(now, v)
	for name, t := range v.Tables {
		h := p.histories[name]
		if h == nil {
			h = &history{lostAt: map[string]bootclock.Time{}}
			p.histories[name] = h
		}
		h.see(t, now)
	}
}

// watchServices notes when each keyed service's upstreams register.
func (p *Planner) watchServices(now bootclock.Time, v *view.View) {
	if v.Desired == nil {
		return
	}
	for _, name := range v.Desired.KeyedServices() {
		a := p.arrivals[name]
		n := len(v.Upstreams.Of(name))
		if n <= a.known {
			continue
		}
		if a.known == 0 {
			a.first = now
		}
		a.known, a.last = n, now
		p.arrivals[name] = a
	}
}

// join returns the next proof of the seat if it is due.
func (p *Planner) join(now bootclock.Time, v *view.View) Action {
	if p.resigned || p.seat.joining || now.Before(p.seat.nextJoin) || v.Desired == nil || len(v.Desired.KeyedServices()) == 0 {
		return nil
	}
	if p.plannerSeenAt == 0 || !p.tableDue(now, v) {
		p.plannerSeenAt = now // a planner may be about to show itself
	}
	if !p.opts.Eager && !p.seat.held && now.Sub(p.plannerSeenAt) < patience {
		return nil
	}
	p.seat.joining, p.seat.member = true, true
	ttl := p.opts.SeatTTL
	if !p.seat.held {
		ttl *= 2
	}
	return &Join{TTL: ttl, SentAt: now}
}

// shouldLeave reports whether this host is a member of the group and has no
// more use for the seat: it resigned, or is weak and sees another host plan.
// A member that merely stops its proofs may be dealt the seat until it lapses,
// and nobody plans meanwhile: 2.6 s were seen.
func (p *Planner) shouldLeave(now bootclock.Time) bool {
	if !p.seat.member || p.seat.joining {
		return false
	}
	return p.resigned || (!p.opts.Eager && !p.seat.held && now.Sub(p.plannerSeenAt) < patience)
}

// tableDue reports whether a planner would have shown itself by now, if there
// were one. Where 85 weak hosts sought the seat because there was no table
// yet, one of them got it at the start of every fleet.
func (p *Planner) tableDue(now bootclock.Time, v *view.View) bool {
	if len(v.Tables) > 0 {
		return true
	}
	for _, a := range p.arrivals {
		if now.Sub(a.first) > settle {
			return true
		}
	}
	return false
}

// ShouldGiveWay reports whether this host plans, though it is not eager, and
// can give the seat up now. It first plans for giveWayAfter seats' times to
// live: by then the other weak hosts have seen a planner, their memberships
// have lapsed, and the seat goes to a strong one.
func (p *Planner) ShouldGiveWay(now bootclock.Time) bool {
	long := now.Sub(p.seat.takenAt) > time.Duration(giveWayAfter*float64(p.opts.SeatTTL))
	return !p.opts.Eager && p.Holding(now) && !p.seat.joining && long
}

// GiveWay ends this host's planning in favour of a stronger one. What it
// granted outlives the change: grants last Hold, the successor renews them
// within one pause between its proofs of the seat.
func (p *Planner) GiveWay(now bootclock.Time) {
	p.Note(Event{Kind: SeatLost, Cause: "a stronger host is there", Age: now.Sub(p.seat.provenAt)})
	p.seat.held = false
	p.plannerSeenAt = now
	p.dropTerms()
}

// JoinDone takes a Join's answer: whether this host holds the seat.
func (p *Planner) JoinDone(j *Join, held bool, err error, now bootclock.Time) {
	p.seat.joining = false
	p.seat.joinedAt = now
	pause := joinOther
	if p.seat.held {
		pause = joinHolder
	}
	p.seat.nextJoin = now.Add(time.Duration(pause * float64(p.opts.SeatTTL)))
	if err != nil {
		return
	}
	switch {
	case held && !p.seat.held:
		p.Note(Event{Kind: SeatTaken})
		p.seat.takenAt = now
		p.seat.nextJoin = now.Add(time.Duration(joinHolder * float64(p.opts.SeatTTL)))
	case !held && p.seat.held:
		p.Note(Event{Kind: SeatLost, Age: now.Sub(p.seat.provenAt)})
		p.dropTerms()
	}
	p.seat.held = held
	if held {
		p.seat.provenAt = j.SentAt
	}
}

// endTerms forgets the terms once the seat is no longer proved. A later
// term starts with a record of its own.
func (p *Planner) endTerms(now bootclock.Time) {
	for name := range p.services {
		p.Note(Event{Kind: TermEnded, Service: name, Age: now.Sub(p.seat.provenAt)})
	}
	p.dropTerms()
}

// dropTerms ends the terms of all services. Those that had started are kept
// as past ones: what this host itself has sent it need not guess.
func (p *Planner) dropTerms() {
	for name, t := range p.services {
		if t.started {
			p.past[name] = t
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
	t.adopt(v.Tables[name], now)
	if !t.started && p.resigned || t.standingDown() {
		return nil
	}
	if !t.started {
		return t.takeOver(now)
	}
	t.observe(v, now)
	out := t.retire(now)
	if !p.resigned {
		t.plan(now)
		out = append(out, t.releases(now)...)
	}
	out = append(out, t.grants(now)...)
	if a := t.record(now); a != nil {
		out = append(out, a)
	}
	return out
}

// AppendDone takes an Append's result. It reports the table if this host
// may already use it.
func (p *Planner) AppendDone(a *Append, end int64, err error, now bootclock.Time) *ownership.Table {
	t := p.services[a.Table.Service]
	if t == nil || t.appending != a {
		return nil
	}
	switch {
	case err == nil:
		p.StreamEnd(end)
		t.appending = nil
		p.Note(Event{Kind: TableRecorded, Service: t.name, Table: a.Table, Cause: a.Cause})
		return a.Table
	case errors.Is(err, metastore.ErrConflict):
		p.endDoubted = true
		t.appending = nil
		t.nextAppend = now.Add(retryAppend)
		p.Note(Event{Kind: RecordConflict, Service: t.name, Err: err})
	default:
		// The record may be written yet, so the same one is sent again
		// until the log says which.
		p.endDoubted = true
		t.nextAppend = now.Add(retryAppend)
		t.resend = true
	}
	return nil
}

// GrantDone takes a Grant's result.
func (p *Planner) GrantDone(g *Grant, err error, now bootclock.Time) {
	g.holder.done(g, err, now)
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

// LogRegained tells that the log service was lost to this host and is back.
// That it saw no planner meanwhile says nothing.
func (p *Planner) LogRegained(now bootclock.Time) { p.plannerSeenAt = now }

// PlannerLost tells that the planner did not answer or is none any more. The
// seat may be this host's already, which only its next proof tells it: the
// group deals seats anew whenever a member joins or leaves.
func (p *Planner) PlannerLost() {
	if soon := p.seat.joinedAt.Add(joinHurried); !p.seat.held && soon.Before(p.seat.nextJoin) {
		p.seat.nextJoin = soon
	}
}

// Resign makes the planner seek its seat no more, for a planned stop. It goes
// on renewing what it granted, for as long as its last proof allows or until
// its successor's token is seen, so that no lease runs out before the
// successor has renewed it; but it moves no more keys.
func (p *Planner) Resign() { p.resigned = true }
