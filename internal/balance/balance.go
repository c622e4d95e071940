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
	// overloadBackoff is how long an upstream counts as full after it refused:
	// about the time in which one of its slots comes free.
	overloadBackoff = 100 * time.Millisecond
	// ejectionThreshold is how many failures in a row take an upstream out.
	ejectionThreshold = 2
	// baseEjectionTime and ejectMost bound how long it stays out.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 2 * time.Second
	// maxEntryWriteDelay is how long after its start an upstream has written its entry.
	maxEntryWriteDelay = 2 * time.Second
	// sampleSize is how many upstreams of the host's data centre, and how many of
	// others, are compared for a request. Taking the best of all would send the
	// hosts of a large fleet, which know the same, to the same upstream.
	sampleSize = 3
	// slowStartLatencyFactor is how much slower an upstream is while it warms up.
	slowStartLatencyFactor = 2
)

// upstreamState is what this host knows of one upstream. The limiter counts what is
// under way and smooths the latency; the rest is its health.
type upstreamState struct {
	limiter             *admission.Limiter
	consecutiveFailures int
	ejectedUntil        time.Time
	overloadedUntil     time.Time
	// picked is set once Pick returned the upstream; keyed ones never are.
	picked bool
	// answered and latency are the answers since the last report.
	answered     int
	totalLatency time.Duration
	// peerLoad is what the other hosts have there, as of learnedAt.
	peerLoad   PeerLoad
	peerLoadAt time.Time
	// slowStartLimiter lets requests through while the upstream is cold.
	slowStartLimiter ratelimit.IntervalLimiter
	// crashedAt is when it last seemed to have ended, backAt when it answered again;
	// see slowUntil.
	crashedAt, recoveredAt time.Time
}

// slowStartUntil is when the upstream's slow start is over: as its entry says, or, where
// it seemed to have ended, so long after it answered again. What answers then may
// have just started under the same ID, and its entry tells only once it is read.
func (r *upstreamState) slowStartUntil(u *catalogue.Upstream, slowStart time.Duration, now time.Time) time.Time {
	switch {
	case r.crashedAt.IsZero():
		return u.SlowUntil
	case r.recoveredAt.Before(r.crashedAt):
		return now.Add(slowStart)
	case r.recoveredAt.Add(slowStart).After(u.SlowUntil):
		return r.recoveredAt.Add(slowStart)
	}
	return u.SlowUntil
}

// Picker keeps one record of each upstream.
type Picker struct {
	// host is this host's name.
	host   string
	mu     sync.Mutex
	states map[string]*upstreamState
	// syncedUntil is the time up to which all entries that upstreams had written were read.
	syncedUntil time.Time
	// subsets are what this host uses of each service's upstreams.
	subsets map[string]*serviceSubset
}

// NewPicker returns the empty board of a host.
func NewPicker(host string) *Picker {
	return &Picker{host: host, states: map[string]*upstreamState{}, subsets: map[string]*serviceSubset{}}
}

func (b *Picker) state(id string) *upstreamState {
	r := b.states[id]
	if r == nil {
		r = &upstreamState{limiter: admission.NewLimiter()}
		b.states[id] = r
	}
	return r
}

// Limiter returns the upstream's limiter.
func (b *Picker) Limiter(id string) *admission.Limiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).limiter
}

// Done takes in how a send to the upstream ended, and how long it took. It reports
// whether the upstream seems to have ended.
func (b *Picker) Done(id string, o Outcome, took time.Duration, now time.Time) (ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.state(id)
	switch o {
	case Served:
		r.consecutiveFailures = 0
		r.answered++
		r.totalLatency += took
		if r.recoveredAt.Before(r.crashedAt) {
			r.recoveredAt = now
		}
	case Overloaded:
		r.consecutiveFailures = 0
		r.overloadedUntil = now.Add(overloadBackoff)
	case ConnRejected:
		r.overloadedUntil = now.Add(overloadBackoff)
	case Failed, Broken, Crashed:
		r.consecutiveFailures++
		if ended = o == Crashed || (o == Broken && r.consecutiveFailures >= ejectionThreshold); ended {
			r.crashedAt = now
		}
		if r.consecutiveFailures >= ejectionThreshold {
			r.ejectedUntil = now.Add(min(baseEjectionTime<<min(r.consecutiveFailures-ejectionThreshold, 4), maxEjectionTime))
		}
	case Inconclusive:
	}
	return ended
}

// RecordCrash takes note that the upstream was seen to end at the time.
func (b *Picker) RecordCrash(id string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.state(id); at.After(r.crashedAt) && b.syncedUntil.Sub(at) <= maxEntryWriteDelay {
		r.crashedAt = at
	}
}

// MarkSynced takes note that all entries were read that upstreams had written by the
// given time: one that ended well before is listed as what it is now.
func (b *Picker) MarkSynced(written time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.syncedUntil = written
	for _, r := range b.states {
		if written.Sub(r.crashedAt) > maxEntryWriteDelay {
			r.crashedAt, r.recoveredAt = time.Time{}, time.Time{}
		}
	}
}

// IsEjected reports whether the upstream fails so often that it is left alone for
// now.
func (b *Picker) IsEjected(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.state(id).ejectedUntil)
}

// Prune forgets upstreams that keep does not know.
func (b *Picker) Prune(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.states {
		if !keep(id) && r.limiter.InFlight() == 0 {
			delete(b.states, id)
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
	s := b.subsetFor(ups, c.LocalDataCentre)
	best, last := b.sample(s.local, c, now)
	far, lastFar := b.sample(s.remote, c, now)
	best.merge(far)
	last.merge(lastFar)
	if best.up == nil {
		// None of those that this host uses will do: any other may.
		best, _ = b.sample(ups, c, now)
	}
	if best.up == nil {
		best = last
	}
	if best.up != nil {
		b.state(best.up.ID).picked = true
	}
	return best.up
}

// sample looks at upstreams in a random order until it has found drawn that will
// do, and returns the best of them. If there are none it returns the best of
// those that fail or are full.
func (b *Picker) sample(ups []*catalogue.Upstream, c Criteria, now time.Time) (best, last candidate) {
	found := 0
	order := newPermutation(len(ups))
	for range ups {
		u := ups[order.next()]
		if u.Draining() || slices.Contains(c.Excluded, u.ID) {
			continue
		}
		r := b.state(u.ID)
		if !r.slowStartAllows(u, c.SlowStart, now) {
			continue
		}
		if c.Unavailable != nil && c.Unavailable(u.ID) {
			continue
		}
		cost := r.cost(u, now)
		if u.DataCentre != c.LocalDataCentre {
			cost += c.FarPenalty
		}
		if now.Before(r.ejectedUntil) || now.Before(r.overloadedUntil) {
			last.consider(u, cost)
			continue
		}
		best.consider(u, cost)
		if found++; found == sampleSize {
			break
		}
	}
	return best, last
}

// permutation walks over n places, each once, from a random one on in random steps. A
// shuffle of all would cost as much as there are upstreams.
type permutation struct{ index, step, n int }

func newPermutation(n int) permutation {
	if n < 2 {
		return permutation{n: n}
	}
	step := 1 + rand.IntN(n-1)
	for !coprime(step, n) {
		step = 1 + rand.IntN(n-1)
	}
	return permutation{rand.IntN(n), step, n}
}

// next returns the next place.
func (o *permutation) next() int {
	at := o.index
	o.index = (o.index + o.step) % o.n
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
	return b.state(u.ID).slowStartAllows(u, s, now)
}

// slowStartAllows is ColdOpen for the record's upstream.
func (r *upstreamState) slowStartAllows(u *catalogue.Upstream, s SlowStart, now time.Time) bool {
	until := r.slowStartUntil(u, s.Duration, now)
	return s.Share == nil || !now.Before(until) || r.slowStartLimiter.Allows(s.Share(), until, now)
}

// TakeSlowStartPermit is ColdOpen for a request that is sent now, which it counts.
func (b *Picker) TakeSlowStartPermit(u *catalogue.Upstream, s SlowStart, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.state(u.ID)
	until := r.slowStartUntil(u, s.Duration, now)
	return s.Share == nil || !now.Before(until) || r.slowStartLimiter.Take(s.Share(), until, now)
}

// candidate is the best upstream seen so far.
type candidate struct {
	up   *catalogue.Upstream
	cost time.Duration
}

// merge puts the other in the candidate's place if it costs less.
func (c *candidate) merge(o candidate) {
	if o.up != nil {
		c.consider(o.up, o.cost)
	}
}

// consider puts the upstream in the candidate's place if it costs less.
func (c *candidate) consider(u *catalogue.Upstream, cost time.Duration) {
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
func (r *upstreamState) cost(u *catalogue.Upstream, now time.Time) time.Duration {
	s := r.limiter.State()
	c := s.Latency + s.Latency*time.Duration(s.InFlight)/time.Duration(u.Slots)
	if r.hasPeerLoad(now) {
		there := s.InFlight + r.peerLoad.InFlight
		c = (c + r.peerLoad.WorkTime + r.peerLoad.WorkTime*time.Duration(there)/time.Duration(u.Slots)) / 2
	}
	if now.Before(u.SlowUntil) {
		c *= slowStartLatencyFactor
	}
	return s.ExpectedWait + c
}

// hasPeerLoad reports whether what the other hosts have there is known.
func (r *upstreamState) hasPeerLoad(now time.Time) bool { return now.Sub(r.peerLoadAt) <= peerLoadTTL }

// ExpectedLatency returns how long an answer of the upstream would take, as far as
// all hosts' requests there are known; 0 if they are not.
func (b *Picker) ExpectedLatency(u *catalogue.Upstream, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.state(u.ID)
	if !r.hasPeerLoad(now) {
		return 0
	}
	ahead := r.limiter.InFlight() + r.peerLoad.InFlight - u.Slots + 1
	return r.peerLoad.WorkTime + r.peerLoad.WorkTime*time.Duration(max(ahead, 0))/time.Duration(u.Slots)
}
