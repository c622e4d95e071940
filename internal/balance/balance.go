// Package balance chooses among upstreams that can all serve a request, from
// what this host has seen of them: their answers and what is under way.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ratelimit"
)

// Outcome is how a send ended, as far as the choice is concerned.
type Outcome int

const (
	// Served means an answer came.
	Served Outcome = iota
	// Overloaded means the upstream refused for want of room.
	Overloaded
	// ConnRejected means it ended a new connection at once: it has too many, or whoever
	// takes connections for it does not reach it.
	ConnRejected
	// Failed means that it could not be reached, answered that it failed, or too late.
	Failed
	// Broken means that it broke off.
	Broken
	// Crashed means that nobody listens there any more.
	Crashed
	// Inconclusive means the caller left; it says nothing of the upstream.
	Inconclusive
)

const (
	// fullPause is how long an upstream counts as full after it refused:
	// about the time in which one of its slots comes free.
	fullPause = 100 * time.Millisecond
	// ejectAfter is how many failures in a row take an upstream out.
	ejectAfter = 2
	// ejectFirst and ejectMost bound how long it stays out.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 2 * time.Second
	// writtenWithin is how long after its start an upstream has written its entry.
	writtenWithin = 2 * time.Second
	// drawn is how many upstreams of the host's data centre, and how many of
	// others, are compared for a request. Taking the best of all would send the
	// hosts of a large fleet, which know the same, to the same upstream.
	drawn = 3
	// coldFactor is how much slower an upstream is while it warms up.
	coldFactor = 2
)

// record is what this host knows of one upstream. The limiter counts what is
// under way and smooths the latency; the rest is its health.
type record struct {
	limiter  *admission.Limiter
	failures int
	outUntil time.Time
	fullTill time.Time
	// chosen is set once Pick returned the upstream; keyed ones never are.
	chosen bool
	// answered and latency are the answers since the last report.
	answered int
	latency  time.Duration
	// others is what the other hosts have there, as of learnedAt.
	others    PeerLoad
	learnedAt time.Time
	// gate lets requests through while the upstream is cold.
	gate ratelimit.IntervalLimiter
	// endedAt is when it last seemed to have ended, backAt when it answered again;
	// see slowUntil.
	endedAt, backAt time.Time
}

// slowUntil is when the upstream's slow start is over: as its entry says, or, where
// it seemed to have ended, so long after it answered again. What answers then may
// have just started under the same ID, and its entry tells only once it is read.
func (r *record) slowUntil(u *catalogue.Upstream, slowStart time.Duration, now time.Time) time.Time {
	switch {
	case r.endedAt.IsZero():
		return u.SlowUntil
	case r.backAt.Before(r.endedAt):
		return now.Add(slowStart)
	case r.backAt.Add(slowStart).After(u.SlowUntil):
		return r.backAt.Add(slowStart)
	}
	return u.SlowUntil
}

// Picker keeps one record of each upstream.
type Picker struct {
	// host is this host's name.
	host string
	mu   sync.Mutex
	by   map[string]*record
	// written is the time up to which all entries that upstreams had written were read.
	written time.Time
	// sets are what this host uses of each service's upstreams.
	sets map[string]*set
}

// NewPicker returns the empty board of a host.
func NewPicker(host string) *Picker {
	return &Picker{host: host, by: map[string]*record{}, sets: map[string]*set{}}
}

func (b *Picker) of(id string) *record {
	r := b.by[id]
	if r == nil {
		r = &record{limiter: admission.NewLimiter()}
		b.by[id] = r
	}
	return r
}

// Limiter returns the upstream's limiter.
func (b *Picker) Limiter(id string) *admission.Limiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(id).limiter
}

// Done takes in how a send to the upstream ended, and how long it took. It reports
// whether the upstream seems to have ended.
func (b *Picker) Done(id string, o Outcome, took time.Duration, now time.Time) (ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.of(id)
	switch o {
	case Served:
		r.failures = 0
		r.answered++
		r.latency += took
		if r.backAt.Before(r.endedAt) {
			r.backAt = now
		}
	case Overloaded:
		r.failures = 0
		r.fullTill = now.Add(fullPause)
	case ConnRejected:
		r.fullTill = now.Add(fullPause)
	case Failed, Broken, Crashed:
		r.failures++
		if ended = o == Crashed || (o == Broken && r.failures >= ejectAfter); ended {
			r.endedAt = now
		}
		if r.failures >= ejectAfter {
			r.outUntil = now.Add(min(ejectFirst<<min(r.failures-ejectAfter, 4), ejectMost))
		}
	case Inconclusive:
	}
	return ended
}

// RecordCrash takes note that the upstream was seen to end at the time.
func (b *Picker) RecordCrash(id string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.of(id); at.After(r.endedAt) && b.written.Sub(at) <= writtenWithin {
		r.endedAt = at
	}
}

// MarkSynced takes note that all entries were read that upstreams had written by the
// given time: one that ended well before is listed as what it is now.
func (b *Picker) MarkSynced(written time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.written = written
	for _, r := range b.by {
		if written.Sub(r.endedAt) > writtenWithin {
			r.endedAt, r.backAt = time.Time{}, time.Time{}
		}
	}
}

// IsEjected reports whether the upstream fails so often that it is left alone for
// now.
func (b *Picker) IsEjected(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.of(id).outUntil)
}

// Prune forgets upstreams that keep does not know.
func (b *Picker) Prune(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.by {
		if !keep(id) && r.limiter.InFlight() == 0 {
			delete(b.by, id)
		}
	}
}

// SlowStart is what the upstreams of a service bear while they are cold.
type SlowStart struct {
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// Share returns this host's share of a cold upstream; nil where that is not
	// bounded.
	Share func() ratelimit.HostRate
}

// Criteria is what a request asks of an upstream.
type Criteria struct {
	// LocalDataCentre is this host's data centre. Bytes between data centres are
	// dear, so another one's upstream must be faster by FarPenalty.
	LocalDataCentre string
	FarPenalty      time.Duration
	// Excluded lists upstreams that were tried already.
	Excluded []string
	// SlowStart is that of the service's upstreams. Cold ones whose share is used
	// up are no choice.
	SlowStart SlowStart
	// Closed, if set, reports whether an upstream takes no requests of this host
	// at present. Such upstreams are no choice.
	Unavailable func(id string) bool
}

// Pick returns the upstream from which an answer is expected first, of some
// that are drawn, or nil if there is none. Upstreams that fail are only used if
// all do.
func (b *Picker) Pick(ups []*catalogue.Upstream, c Criteria, now time.Time) *catalogue.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.setOf(ups, c.LocalDataCentre)
	best, last := b.draw(s.near, c, now)
	far, lastFar := b.draw(s.far, c, now)
	best.orBetter(far)
	last.orBetter(lastFar)
	if best.up == nil {
		// None of those that this host uses will do: any other may.
		best, _ = b.draw(ups, c, now)
	}
	if best.up == nil {
		best = last
	}
	if best.up != nil {
		b.of(best.up.ID).chosen = true
	}
	return best.up
}

// draw looks at upstreams in a random order until it has found drawn that will
// do, and returns the best of them. If there are none it returns the best of
// those that fail or are full.
func (b *Picker) draw(ups []*catalogue.Upstream, c Criteria, now time.Time) (best, last candidate) {
	found := 0
	order := newOrder(len(ups))
	for range ups {
		u := ups[order.next()]
		if u.Draining() || slices.Contains(c.Excluded, u.ID) {
			continue
		}
		r := b.of(u.ID)
		if !r.open(u, c.SlowStart, now) {
			continue
		}
		if c.Unavailable != nil && c.Unavailable(u.ID) {
			continue
		}
		cost := r.cost(u, now)
		if u.DataCentre != c.LocalDataCentre {
			cost += c.FarPenalty
		}
		if now.Before(r.outUntil) || now.Before(r.fullTill) {
			last.take(u, cost)
			continue
		}
		best.take(u, cost)
		if found++; found == drawn {
			break
		}
	}
	return best, last
}

// order walks over n places, each once, from a random one on in random steps. A
// shuffle of all would cost as much as there are upstreams.
type order struct{ at, step, n int }

func newOrder(n int) order {
	if n < 2 {
		return order{n: n}
	}
	step := 1 + rand.IntN(n-1)
	for !coprime(step, n) {
		step = 1 + rand.IntN(n-1)
	}
	return order{rand.IntN(n), step, n}
}

// next returns the next place.
func (o *order) next() int {
	at := o.at
	o.at = (o.at + o.step) % o.n
	return at
}

func coprime(a, b int) bool {
	for b != 0 {
		a, b = b, a%b
	}
	return a == 1
}

// SlowStartAllows reports whether the upstream is warm, or this host's share of it allows a
// request now.
func (b *Picker) SlowStartAllows(u *catalogue.Upstream, s SlowStart, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(u.ID).open(u, s, now)
}

// open is ColdOpen for the record's upstream.
func (r *record) open(u *catalogue.Upstream, s SlowStart, now time.Time) bool {
	until := r.slowUntil(u, s.Duration, now)
	return s.Share == nil || !now.Before(until) || r.gate.Allows(s.Share(), until, now)
}

// TakeSlowStartPermit is ColdOpen for a request that is sent now, which it counts.
func (b *Picker) TakeSlowStartPermit(u *catalogue.Upstream, s SlowStart, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.of(u.ID)
	until := r.slowUntil(u, s.Duration, now)
	return s.Share == nil || !now.Before(until) || r.gate.Take(s.Share(), until, now)
}

// candidate is the best upstream seen so far.
type candidate struct {
	up   *catalogue.Upstream
	cost time.Duration
}

// orBetter puts the other in the candidate's place if it costs less.
func (c *candidate) orBetter(o candidate) {
	if o.up != nil {
		c.take(o.up, o.cost)
	}
}

// take puts the upstream in the candidate's place if it costs less.
func (c *candidate) take(u *catalogue.Upstream, cost time.Duration) {
	if c.up == nil || cost < c.cost {
		c.up, c.cost = u, cost
	}
}

// cost is the time in which an answer is expected. Without the wait for a
// turn, an idle upstream whose limit was spent was chosen, and the request
// refused, while others had room.
//
// It is reckoned from this host's own answers and from what all hosts have at
// the upstream, and the mean taken: in a small fleet the former are younger and
// say more, in a large one the latter.
func (r *record) cost(u *catalogue.Upstream, now time.Time) time.Duration {
	s := r.limiter.State()
	c := s.Latency + s.Latency*time.Duration(s.InFlight)/time.Duration(u.Slots)
	if r.learnt(now) {
		there := s.InFlight + r.others.InFlight
		c = (c + r.others.WorkTime + r.others.WorkTime*time.Duration(there)/time.Duration(u.Slots)) / 2
	}
	if now.Before(u.SlowUntil) {
		c *= coldFactor
	}
	return s.ExpectedWait + c
}

// learnt reports whether what the other hosts have there is known.
func (r *record) learnt(now time.Time) bool { return now.Sub(r.learnedAt) <= learnedFor }

// ExpectedLatency returns how long an answer of the upstream would take, as far as
// all hosts' requests there are known; 0 if they are not.
func (b *Picker) ExpectedLatency(u *catalogue.Upstream, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.of(u.ID)
	if !r.learnt(now) {
		return 0
	}
	ahead := r.limiter.InFlight() + r.others.InFlight - u.Slots + 1
	return r.others.WorkTime + r.others.WorkTime*time.Duration(max(ahead, 0))/time.Duration(u.Slots)
}
