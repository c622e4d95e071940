// Package admission limits a host's concurrent requests to each upstream: a
// request is sent now, waits for a short time, or is refused at once.
//
// Each host adapts its limits on its own, without exchanging them with other
// hosts. The limit of an upstream increases while responses arrive in time and
// decreases when they are late or the upstream is overloaded. Under overload
// this keeps the upstream's queue short, so that it responds in time to the
// requests that it accepts, instead of late to all of them.
package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/decay"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/scheduling"
)

const (
	// initialLimit lets a dozen hosts send a burst at once; an upstream has
	// 3 to 6 slots.
	initialLimit = 4.0
	// maxMinLimit is the highest LimitRange.MinLimit; in large fleets MinLimit is lower.
	// Below 1, requests are spaced out in time; a dozen hosts with a limit of 1
	// each would keep 12 requests at an upstream of 3 slots.
	maxMinLimit = 0.25
	maxLimit    = 32.0
	// limitIncrease is the limit's increase per round trip: each InTime signal
	// adds limitIncrease/limit, or limitIncrease while the limit is below 1.
	// Hosts of a large fleet, whose MinLimit is lower, add proportionally less.
	limitIncrease = 0.5
	// lateFactor and overloadedFactor multiply the limit on a Late and on an
	// Overloaded signal.
	lateFactor       = 0.85
	overloadedFactor = 0.7
	// minDecreaseInterval is the minimum time between two decreases: requests
	// already in flight at a decrease don't reflect the new limit.
	minDecreaseInterval = 150 * time.Millisecond
	// InitialLatency is assumed before the first response.
	InitialLatency = 150 * time.Millisecond
	// startRateTau is the time constant over which requests started are
	// averaged. A host of a large fleet may send an upstream only one request
	// in several seconds.
	startRateTau = 10 * time.Second
	// latencySmoothing is the weight of a new sample in the mean latency.
	latencySmoothing = 0.2
)

// Signal is what the outcome of a request indicates about the upstream's load.
type Signal int

const (
	// InTime means that the response arrived in time.
	InTime Signal = iota
	// Late means that the response arrived too close to its latency objective
	// or after it.
	Late
	// Overloaded means that the upstream had no room for the request or rejected the
	// connection.
	Overloaded
	// NoSignal means that the outcome indicates nothing about the upstream's load.
	NoSignal
)

// Limiter limits this host's concurrent requests to one upstream. It is safe
// for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	limit      float64
	limitRange LimitRange
	// firstStart is when the first request started; recentStarts counts the
	// starts since then, decaying with startRateTau.
	firstStart   time.Time
	recentStarts decay.Sum
	inFlight     int
	// latency is the smoothed response time of the upstream; assumedShare is the share
	// that InitialLatency still has in it.
	latency      time.Duration
	assumedShare float64
	decreasedAt  time.Time
	// nextStart is the earliest start of the next request while the limit is
	// below 1.
	nextStart time.Time
	// waiters are the requests that wait for their turn, oldest first, or most urgent first
	// if the service is competing.
	waiters []*waiter
	// classLatency is the smoothed response time by class, and share the work started for the
	// less urgent classes, of a competing service.
	classLatency map[desired.Class]time.Duration
	share        scheduling.WorkShare
	// wakeScheduled is set while a timer is pending that calls wakeWaiters.
	wakeScheduled bool
}

// NewLimiter returns a limiter for an upstream of which nothing is known.
func NewLimiter() *Limiter {
	return &Limiter{limit: initialLimit, limitRange: LimitRange{MaxLimit: maxLimit, MinLimit: maxMinLimit}, latency: InitialLatency, assumedShare: 1}
}

// LimitRange is the range of a host's limit for an upstream that all hosts of a
// fleet send to.
type LimitRange struct {
	// MaxLimit is the host's maximum number of requests in flight. All hosts' values add up to at
	// most connectionSkew times the upstream's connections, or to one per host in a fleet larger
	// than that. The adaptive limits make it unlikely that half of the hosts reach theirs at the
	// same time. MinLimit is the value below which the adaptive limit does not decrease.
	MaxLimit, MinLimit float64
}

// connectionSkew is the factor by which a host may exceed an equal share of an
// upstream's connections. Callers and busy keys are spread unevenly over the
// hosts: a lower factor refuses requests while connections are free, a higher
// one lets the hosts exceed the upstream's connections, so that it resets some.
const connectionSkew = 2

// maxMinLimitSumPerSlot bounds the sum of all hosts' minimum limits, in requests
// per upstream slot. A lower bound sheds load sooner, but the limits recover too
// slowly: a host of a large fleet gets a response from an upstream only once in
// several seconds.
const maxMinLimitSumPerSlot = 8

// HostLimitRange returns the range of a host's limit for an upstream with the given number of
// slots that accepts at most maxConnections connections from all hosts together; 0 means that
// their number is unlimited. The sum of all hosts' minimum limits is at most
// maxMinLimitSumPerSlot times the slots, whatever the size of the fleet.
func HostLimitRange(slots, maxConnections, hosts int) LimitRange {
	r := LimitRange{MaxLimit: maxLimit, MinLimit: min(maxMinLimit, maxMinLimitSumPerSlot*float64(slots)/float64(hosts))}
	if maxConnections > 0 {
		// An upstream resets connections above maxConnections, and the requests on them may
		// have run: callers would get a 502. A host opens a connection only while all its
		// others are in use, so limiting the requests in flight limits the connections.
		r.MaxLimit = min(r.MaxLimit, max(float64(connectionSkew*maxConnections/hosts), 1))
	}
	return r
}

// Ticket admits one request. Its Done must be called when the request ends.
type Ticket struct {
	limiter *Limiter
	// limitInUse is how much of the limit was in use when the request started.
	limitInUse float64
	// request is nil unless the service is competing.
	request *scheduling.Request
}

// Acquire returns a ticket, or nil if the request would wait longer than
// maxWait or ctx ends. It returns nil without waiting if the expected wait is
// longer than maxWait.
func (l *Limiter) Acquire(ctx context.Context, maxWait time.Duration, limitRange LimitRange) *Ticket {
	return l.acquire(ctx, &waiter{turn: make(chan struct{}, 1)}, maxWait, limitRange)
}

func (l *Limiter) acquire(ctx context.Context, w *waiter, maxWait time.Duration, limitRange LimitRange) *Ticket {
	now := time.Now()
	l.mu.Lock()
	l.setLimitRange(limitRange)
	if len(l.waiters) == 0 && l.hasRoom(now) {
		defer l.mu.Unlock()
		l.recordShare(w)
		return l.start(w, now)
	}
	if l.expectedWaitOf(w, now) > maxWait {
		l.mu.Unlock()
		return nil
	}
	l.enqueue(w)
	l.wakeWaiters(now)
	l.mu.Unlock()
	return l.await(ctx, w, maxWait)
}

// TryAcquire returns a ticket if the request may start at once, else nil.
func (l *Limiter) TryAcquire(limitRange LimitRange) *Ticket {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLimitRange(limitRange)
	if len(l.waiters) > 0 || !l.hasRoom(now) {
		return nil
	}
	return l.start(&waiter{}, now)
}

// await waits until wakeWaiters signals the waiter's turn, maxWait has passed or ctx ends.
func (l *Limiter) await(ctx context.Context, w *waiter, maxWait time.Duration) *Ticket {
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case <-w.turn:
		l.mu.Lock()
		defer l.mu.Unlock()
		return &Ticket{limiter: l, limitInUse: l.limitInUse(time.Now()), request: w.request}
	case <-t.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiters, w); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
		return nil
	}
	// wakeWaiters has admitted the request in the meantime: undo the admission.
	l.inFlight--
	l.wakeWaiters(time.Now())
	return nil
}

// setLimitRange sets the range of the limit. Before the first request it also
// scales the initial limit, so that each host of a large fleet starts with less.
func (l *Limiter) setLimitRange(r LimitRange) {
	if l.firstStart.IsZero() {
		l.limit = max(initialLimit*r.scale(), 1)
	}
	l.limitRange = r
}

// scale is the ratio of MinLimit to maxMinLimit.
func (r LimitRange) scale() float64 { return r.MinLimit / maxMinLimit }

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// State is a snapshot of a limiter, for logs.
type State struct {
	Limit             float64
	InFlight, Waiting int
	Latency           time.Duration
	// AssumedShare is the share of InitialLatency in Latency: 1 before the first response.
	AssumedShare float64
	// ExpectedWait is how long a further request would wait for its turn.
	ExpectedWait time.Duration
}

// State returns the limiter's current state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := State{Limit: l.effectiveLimit(), InFlight: l.inFlight, Waiting: len(l.waiters), Latency: l.latency, AssumedShare: l.assumedShare}
	if now := time.Now(); s.Waiting > 0 || !l.hasRoom(now) {
		s.ExpectedWait = l.expectedWait(now)
	}
	return s
}

// hasRoom reports whether a request may start at now.
func (l *Limiter) hasRoom(now time.Time) bool {
	if l.limit < 1 {
		return l.inFlight == 0 && !now.Before(l.nextStart)
	}
	return float64(l.inFlight+1) <= l.effectiveLimit()
}

// effectiveLimit is the limit, at most MaxLimit.
func (l *Limiter) effectiveLimit() float64 { return min(l.limit, l.limitRange.MaxLimit) }

// start admits a request at now.
func (l *Limiter) start(w *waiter, now time.Time) *Ticket {
	l.recordStart(now)
	return &Ticket{limiter: l, limitInUse: l.limitInUse(now), request: w.request}
}

func (l *Limiter) recordStart(now time.Time) {
	l.inFlight++
	if l.firstStart.IsZero() {
		l.firstStart = now
	}
	l.recentStarts.Add(1, startRateTau, now)
}

// limitInUse is how much of the limit is in use: the requests in flight or, if
// there is at most one, their mean number, by Little's law the rate of starts
// times the latency. Counting a rare request of a large fleet's host as 1 would
// take a dozen decreases before the host sent less.
func (l *Limiter) limitInUse(now time.Time) float64 {
	if l.inFlight > 1 {
		return float64(l.inFlight)
	}
	span := max(decay.EffectiveWindow(startRateTau, now.Sub(l.firstStart)), l.latency.Seconds())
	return min(l.recentStarts.Value(startRateTau, now)*l.latency.Seconds()/span, 1)
}

// expectedWait estimates how long a further request would wait for its turn.
func (l *Limiter) expectedWait(now time.Time) time.Duration {
	wait := time.Duration(float64(len(l.waiters)+1) / l.effectiveLimit() * float64(l.latency))
	if l.limit < 1 && l.inFlight == 0 {
		wait = max(l.nextStart.Sub(now), 0) + time.Duration(float64(len(l.waiters))/l.limit*float64(l.latency))
	}
	return wait
}

// wakeWaiters admits the waiters that have room now. If requests are spaced out,
// it schedules itself for the time of the next start.
func (l *Limiter) wakeWaiters(now time.Time) {
	for len(l.waiters) > 0 && l.hasRoom(now) {
		w := l.next()
		l.recordShare(w)
		l.recordStart(now)
		w.turn <- struct{}{}
	}
	if len(l.waiters) == 0 || l.inFlight > 0 || l.wakeScheduled {
		return
	}
	l.wakeScheduled = true
	time.AfterFunc(l.nextStart.Sub(now), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.wakeScheduled = false
		l.wakeWaiters(time.Now())
	})
}

// Done ends a request that took elapsed at the upstream, and adapts the limit
// according to signal.
func (t *Ticket) Done(signal Signal, elapsed time.Duration) {
	l, now := t.limiter, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if t.request != nil && (signal == InTime || signal == Late) {
		l.observeClassLatency(t.request.Class, elapsed)
	}
	switch signal {
	case InTime:
		l.observeLatency(elapsed)
		l.limit = min(l.limit+limitIncrease*l.limitRange.scale()/max(l.limit, 1), maxLimit)
	case Late:
		l.observeLatency(elapsed)
		l.decrease(lateFactor, t.limitInUse, now)
	case Overloaded:
		l.decrease(overloadedFactor, t.limitInUse, now)
	case NoSignal:
	}
	if l.limit < 1 {
		l.nextStart = now.Add(time.Duration((1/l.limit - 1) * float64(l.latency)))
	}
	l.wakeWaiters(now)
}

// observeLatency adds a sample to the smoothed latency.
func (l *Limiter) observeLatency(elapsed time.Duration) {
	l.latency += time.Duration(latencySmoothing * float64(elapsed-l.latency))
	l.assumedShare *= 1 - latencySmoothing
}

// decrease multiplies the part of the limit that was in use by factor: a limit
// that wasn't used up indicates nothing about the upstream's capacity. It does
// nothing within minDecreaseInterval of the previous decrease.
func (l *Limiter) decrease(factor, inUse float64, now time.Time) {
	if now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.limit = max(min(l.limit, inUse)*factor, l.limitRange.MinLimit)
}
