// Package balance chooses among upstreams that can all serve a request, by the
// latency, failures and requests in flight that this host observes, and by the load
// statistics of the other hosts of its data centre.
package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/ratelimit"
)

// Outcome classifies how a send ended, for the choice of upstreams.
type Outcome int

const (
	// Served means that the upstream responded without a server error.
	Served Outcome = iota
	// Overloaded means that the upstream rejected the request for lack of capacity.
	Overloaded
	// ConnRejected means that a new connection was reset while it was opened, or reset or
	// closed right after it was accepted: the upstream has too many, or a proxy in front
	// of it cannot reach it.
	ConnRejected
	// Failed means that the upstream could not be reached, responded with a server error,
	// or did not respond in time.
	Failed
	// Broken means that the connection broke before a whole response.
	Broken
	// Crashed means that the upstream refused the connection: its port is closed.
	Crashed
	// Inconclusive means that the outcome shows nothing about the upstream, for example
	// because the caller disconnected.
	Inconclusive
)

const (
	// overloadBackoff is how long an upstream counts as overloaded after it rejected a
	// request: about the time until one of its slots is free.
	overloadBackoff = 100 * time.Millisecond
	// ejectionThreshold is the number of consecutive failures that eject an upstream.
	ejectionThreshold = 2
	// An ejection lasts baseEjectionTime, doubled with each further failure up to
	// maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 2 * time.Second
	// sampleSize is how many upstreams of the local data centre, and how many of the
	// others, are compared for a request. The best of all would be the same upstream
	// on every host of a large fleet, as the hosts share their load statistics.
	sampleSize = 3
	// slowStartLatencyFactor is how many times slower an upstream is during its slow start.
	slowStartLatencyFactor = 2
)

// upstreamState is this host's view of one upstream. The limiter counts the requests
// in flight and smooths the latency; the other fields are about health and load.
type upstreamState struct {
	limiter             *admission.Limiter
	consecutiveFailures int
	ejectedUntil        time.Time
	overloadedUntil     time.Time
	// picked is set once Pick has returned the upstream. FlushLoadStats leaves out the
	// others, for example the upstreams of keyed services, which are chosen by key.
	picked bool
	// responses is the number of sends with the outcome Served since the last
	// FlushLoadStats, totalLatency the sum of their latencies.
	responses    int
	totalLatency time.Duration
	// peerLoad is the other hosts' load on the upstream, received at peerLoadAt.
	peerLoad   PeerLoad
	peerLoadAt time.Time
	// slowStartLimiter limits requests while the upstream is cold.
	slowStartLimiter ratelimit.IntervalLimiter
	restart          restartEvidence
	// work holds the expected work at an upstream of a competing service.
	work upstreamWork
}

// Picker chooses among upstreams by their state. It is safe for concurrent use.
type Picker struct {
	// host is this host's name; it selects the host's subset of a service's upstreams.
	host   string
	mu     sync.Mutex
	states map[string]*upstreamState
	// syncedUntil is the time up to which this host has read all entries that upstreams
	// wrote to the log service; see MarkSynced.
	syncedUntil time.Time
	logFailing  bool
	gap         observationGap
	// subsets holds the upstreams that this host uses, by service.
	subsets map[string]*serviceSubset
	// work holds what is known of the work of competing services, by service.
	work map[string]*serviceWork
	// OnSilent is called when an upstream is found to be silent; see upstreamWork.silence. It is
	// called with the lock held and must not call the picker.
	OnSilent func(id string)
	// OnSilenceNotice is called, like OnSilent, when an upstream counts as silent by a notice.
	OnSilenceNotice func(id string, silence time.Duration)
	noticed         map[string]bool // upstreams of the last SetSilenceNotices
}

// NewPicker returns a picker without state for the named host.
func NewPicker(host string) *Picker {
	return &Picker{host: host, states: map[string]*upstreamState{}, subsets: map[string]*serviceSubset{}, work: map[string]*serviceWork{}, OnSilent: func(string) {}, OnSilenceNotice: func(string, time.Duration) {}}
}

// state returns the upstream's state and creates it if there is none.
func (p *Picker) state(id string) *upstreamState {
	st := p.states[id]
	if st == nil {
		st = &upstreamState{limiter: admission.NewLimiter()}
		p.states[id] = st
	}
	return st
}

// Limiter returns the upstream's limiter.
func (p *Picker) Limiter(id string) *admission.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(id).limiter
}

// Done records the outcome and the duration of a send to the upstream. It reports
// whether the upstream seems to have crashed. A rejected connection does not reset the
// count of consecutive failures: it may mean that a proxy cannot reach the upstream.
func (p *Picker) Done(id string, o Outcome, took time.Duration, now time.Time) (crashed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.state(id)
	switch o {
	case Served:
		st.consecutiveFailures = 0
		st.responses++
		st.totalLatency += took
		st.restart.responded(now, p.gap.to)
	case Overloaded:
		st.consecutiveFailures = 0
		st.overloadedUntil = now.Add(overloadBackoff)
	case ConnRejected:
		st.overloadedUntil = now.Add(overloadBackoff)
	case Failed, Broken, Crashed:
		st.consecutiveFailures++
		if crashed = o == Crashed || (o == Broken && st.consecutiveFailures >= ejectionThreshold); crashed {
			st.restart.crashedAt = now
		}
		if st.consecutiveFailures >= ejectionThreshold {
			st.ejectedUntil = now.Add(min(baseEjectionTime<<min(st.consecutiveFailures-ejectionThreshold, 4), maxEjectionTime))
		}
	case Inconclusive:
	}
	return crashed
}

// IsEjected reports whether the upstream is ejected at now because of consecutive
// failures.
func (p *Picker) IsEjected(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.state(id).ejectedUntil)
}

// ForgetFailures drops failures since the given time, because this host had lost its paths to all
// upstreams: ejections, possible crashes, and requests without a response.
func (p *Picker) ForgetFailures(since, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, st := range p.states {
		st.consecutiveFailures, st.ejectedUntil, st.overloadedUntil = 0, time.Time{}, time.Time{}
		st.restart.discard(func(at time.Time) bool { return at.After(since) })
		st.work.lastResponse = now
	}
}

// Prune drops the state of upstreams for which keep returns false, unless they have
// requests in flight.
func (p *Picker) Prune(keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, st := range p.states {
		if !keep(id) && st.limiter.InFlight() == 0 {
			delete(p.states, id)
		}
	}
	for _, w := range p.work {
		w.prune(keep)
	}
}

// Criteria restricts and weighs the upstreams for one request.
type Criteria struct {
	// LocalDataCentre is this host's data centre. Traffic between data centres is
	// expensive, so a remote upstream must be faster than a local one by
	// RemotePenalty.
	LocalDataCentre string
	RemotePenalty   time.Duration
	// Excluded lists the IDs of upstreams that were already attempted.
	Excluded []string
	// SlowStart is the slow start of the service's upstreams. Cold upstreams at this
	// host's rate limit are not eligible.
	SlowStart SlowStart
	// Unavailable, if set, reports whether this host must not send to an upstream at
	// present. Such upstreams are not eligible.
	Unavailable func(id string) bool
	// Class is the request's class if its service is competing, else the zero value.
	Class desired.Class
}

// Pick returns the upstream with the lowest cost of a random sample, or nil if none is
// eligible. Ejected and overloaded upstreams are used only if there is no other.
func (p *Picker) Pick(ups []*catalogue.Upstream, c Criteria, now time.Time) *catalogue.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.subsetFor(ups, c.LocalDataCentre)
	best, fallback := p.sample(s.local, c, now)
	remoteBest, remoteFallback := p.sample(s.remote, c, now)
	best.merge(remoteBest)
	fallback.merge(remoteFallback)
	for _, u := range p.recentReporters(s.local, c.Class) {
		reported, _ := p.sample([]*catalogue.Upstream{u}, c, now)
		best.merge(reported)
	}
	if best.up == nil {
		// No upstream of this host's subset is usable; sample all of the service.
		best, _ = p.sample(ups, c, now)
	}
	if best.up == nil {
		best = fallback
	}
	if best.up != nil {
		p.state(best.up.ID).picked = true
	}
	return best.up
}

// sample visits eligible upstreams in a random order until it has found sampleSize that
// are neither ejected nor overloaded, and returns the cheapest of these as best. The
// cheapest ejected or overloaded one that it visited is returned as fallback.
func (p *Picker) sample(ups []*catalogue.Upstream, c Criteria, now time.Time) (best, fallback candidate) {
	usable := 0
	indices := newPermutation(len(ups))
	for range ups {
		u := ups[indices.next()]
		if u.Draining() || slices.Contains(c.Excluded, u.ID) {
			continue
		}
		st := p.state(u.ID)
		if !p.slowStartAllows(st, u, c.SlowStart, now) {
			continue
		}
		if c.Unavailable != nil && c.Unavailable(u.ID) {
			continue
		}
		cost := p.cost(st, u, c.Class, now)
		if u.DataCentre != c.LocalDataCentre {
			cost += c.RemotePenalty
		}
		if now.Before(st.ejectedUntil) || now.Before(st.overloadedUntil) || p.silent(u.ID, st, now) || st.work.noticedSilence(now) > 0 {
			fallback.consider(u, cost)
			continue
		}
		best.consider(u, cost)
		if usable++; usable == sampleSize {
			break
		}
	}
	return best, fallback
}

// candidate is the upstream with the lowest cost so far; up is nil before the first.
type candidate struct {
	up   *catalogue.Upstream
	cost time.Duration
}

// merge replaces the candidate by the other one if that costs less.
func (c *candidate) merge(o candidate) {
	if o.up != nil {
		c.consider(o.up, o.cost)
	}
}

// consider replaces the candidate by the upstream if that costs less.
func (c *candidate) consider(u *catalogue.Upstream, cost time.Duration) {
	if c.up == nil || cost < c.cost {
		c.up, c.cost = u, cost
	}
}

// cost returns the expected time to a response: the mean of an estimate from this host's own
// requests, more recent in a small fleet, where each host sends to an upstream often, and one
// from the load of all hosts of the data centre, more accurate in a large one. It includes the
// wait for this host's limiter: without it, Pick would prefer an idle upstream to which the
// limiter admits no request yet. The other hosts' estimate replaces the latency that the limiter
// assumes before it has measured any: a host that works with upstreams of 20 ms would otherwise
// never send to another one that it has not measured, and not notice the end of its rate limit.
func (st *upstreamState) cost(u *catalogue.Upstream, now time.Time) time.Duration {
	s := st.limiter.State()
	if st.hasPeerLoad(now) && st.peerLoad.WorkTime > 0 {
		s.Latency += time.Duration(s.AssumedShare * float64(st.peerLoad.WorkTime-admission.InitialLatency))
	}
	c := s.Latency + s.Latency*time.Duration(s.InFlight)/time.Duration(u.Slots)
	if st.hasPeerLoad(now) {
		inFlight := s.InFlight + st.peerLoad.InFlight
		c = (c + st.peerLoad.WorkTime + st.peerLoad.WorkTime*time.Duration(inFlight)/time.Duration(u.Slots)) / 2
	}
	if now.Before(u.SlowUntil) {
		c *= slowStartLatencyFactor
	}
	return s.ExpectedWait + c
}

// hasPeerLoad reports whether the other hosts' load is known and recent.
func (st *upstreamState) hasPeerLoad(now time.Time) bool {
	return now.Sub(st.peerLoadAt) <= peerLoadTTL
}

// ExpectedLatency returns the expected latency of one more request to the upstream, based
// on the requests in flight from all hosts of the data centre; 0 if the load of the other
// hosts is not known.
func (p *Picker) ExpectedLatency(u *catalogue.Upstream, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.state(u.ID)
	if !st.hasPeerLoad(now) {
		return 0
	}
	queued := st.limiter.InFlight() + st.peerLoad.InFlight - u.Slots + 1
	return st.peerLoad.WorkTime + st.peerLoad.WorkTime*time.Duration(max(queued, 0))/time.Duration(u.Slots)
}
