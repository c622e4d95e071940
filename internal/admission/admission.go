// Package admission decides whether a request is sent to an upstream now,
// waits a little, or is refused at once.
//
// Each host keeps a limit on its own requests under way to each upstream.
// Hosts do not tell each other what they send; the upstream's answers tell
// them: while answers come in time the limit grows, when they come late or
// the upstream is full it shrinks. Under overload the hosts together keep the
// upstream's queue so short that what it serves is served in time, instead
// of everything late.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/decay"
)

const (
	// initialLimit allows a dozen hosts a burst at once; an upstream has 3 to
	// 6 slots.
	initialLimit = 4.0
	// leastLimit: below one, requests to the upstream are spaced out. A
	// dozen hosts at a limit of one each keep 12 requests at an upstream of
	// 3 slots, three times what it can work on. It is the floor of a dozen
	// hosts; see ShareOf for more.
	minLimit = 0.25
	maxLimit = 32.0
	// limitIncrease is added to the limit for each answer in time, shared among
	// the requests under way, so that it grows by growth in one round trip.
	// Hosts of a larger fleet, whose floors are lower, add less in
	// proportion.
	limitIncrease = 0.5
	// lateDecrease and fullFactor shrink the limit.
	lateDecrease = 0.85
	fullDecrease = 0.7
	// minDecreaseInterval is the least time between two cuts: answers under way when the
	// limit was cut say nothing of the new one.
	minDecreaseInterval = 150 * time.Millisecond
	// initialLatency is assumed before the first answer.
	initialLatency = 150 * time.Millisecond
	// startRateTau is the time constant of the rate of a host's requests to
	// an upstream. One host of a large fleet sends one in several seconds.
	startRateTau     = 10 * time.Second
	latencySmoothing = 0.2
)

// Signal is what an end says of the upstream.
type Signal int

const (
	// InTime means an answer came soon enough.
	InTime Signal = iota
	// Late means an answer came too late to be worth its full value.
	Late
	// Full means the upstream refused for want of room.
	Full
	// NoSignal means the end says nothing of the upstream's load.
	NoSignal
)

// Limiter bounds this host's requests under way to one upstream.
type Limiter struct {
	mu    sync.Mutex
	limit float64
	share Share
	// firstStart is when the first request started, starts counts those
	// since, fading with startMemory.
	firstStart   time.Time
	recentStarts decay.Sum
	inFlight     int
	latency      time.Duration
	decreasedAt  time.Time
	// nextStart spaces requests out while the limit is below one.
	nextStart     time.Time
	waiters       []chan struct{}
	wakeScheduled bool
}

// NewLimiter returns a limiter of an upstream not heard of before.
func NewLimiter() *Limiter {
	return &Limiter{limit: initialLimit, share: Share{MaxLimit: maxLimit, MinLimit: minLimit}, latency: initialLatency}
}

// Share is a host's part of an upstream that a fleet shares.
type Share struct {
	// MaxLimit bounds its requests under way, Least is how far its limit may
	// shrink.
	MaxLimit, MinLimit float64
}

// uneven is how much more than its even part of an upstream's connections a
// host may use: callers are not spread evenly over hosts, nor is a busy key.
// On a day of heavy load an even part earned 0.51 of the worth, twice that
// 0.66 without a connection reset, four times that 0.67 with 88 resets.
const connectionSkew = 2

// floors is how many requests for each slot all hosts at their floors keep
// under way together. Lower ones refuse sooner but recover too slowly: a host
// of a large fleet hears of an upstream once in several seconds. On a heavy
// day of 91 hosts the keyed class earned 0.67 of its worth with 8, 0.52 to
// 0.57 with 1 and 0.56 with 3.
const minLimitRequestsPerSlot = 8

// ShareOf returns the share of one of so many hosts in an upstream that works
// on slots requests at once and takes so many connections from all hosts
// together, 0 for any number.
//
// An upstream resets connections beyond its number, and with them requests
// that may have run: callers would see 502. A host opens a connection only
// while all it has are in use, so bounding the requests under way suffices;
// that half of all hosts are at the bound of one upstream together, the
// limits prevent.
//
// All hosts at their floors together keep floors times the upstream's slots
// under way, whatever the fleet's size.
func ShareOf(slots, connections, hosts int) Share {
	s := Share{MaxLimit: maxLimit, MinLimit: min(minLimit, minLimitRequestsPerSlot*float64(slots)/float64(hosts))}
	if connections > 0 {
		s.MaxLimit = min(s.MaxLimit, max(float64(connectionSkew*connections/hosts), 1))
	}
	return s
}

// Ticket is the leave to send one request. Done must be called on it.
type Ticket struct {
	limiter *Limiter
	// limitInUse is how much of the limit was in use when the request started.
	limitInUse float64
}

// Acquire returns a ticket, or nil if the request would wait longer than
// patience or ctx ends. It refuses at once where the wait is foreseeable.
func (l *Limiter) Acquire(ctx context.Context, patience time.Duration, share Share) *Ticket {
	now := time.Now()
	l.mu.Lock()
	l.setShare(share)
	if len(l.waiters) == 0 && l.hasRoom(now) {
		defer l.mu.Unlock()
		return l.start(now)
	}
	if l.expectedWait(now) > patience {
		l.mu.Unlock()
		return nil
	}
	ch := make(chan struct{}, 1)
	l.waiters = append(l.waiters, ch)
	l.wakeWaiters(now)
	l.mu.Unlock()
	return l.await(ctx, ch, patience)
}

func (l *Limiter) await(ctx context.Context, ch chan struct{}, patience time.Duration) *Ticket {
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case <-ch:
		l.mu.Lock()
		defer l.mu.Unlock()
		return &Ticket{limiter: l, limitInUse: l.limitInUse(time.Now())}
	case <-t.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiters {
		if w == ch {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return nil
		}
	}
	// It was let through just now; the ticket is given back unused.
	l.inFlight--
	l.wakeWaiters(time.Now())
	return nil
}

// setShare adopts the share. A limit that was never used starts in proportion.
func (l *Limiter) setShare(s Share) {
	if l.firstStart.IsZero() {
		l.limit = max(initialLimit*s.scale(), 1)
	}
	l.share = s
}

// scale is how much less than a dozen hosts' floor the share's is.
func (s Share) scale() float64 { return s.MinLimit / minLimit }

// InFlight returns how many requests are under way.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// State is what a limiter decides by, for logs.
type State struct {
	Limit             float64
	InFlight, Waiting int
	Latency           time.Duration
	// ExpectedWait is how long one more request would wait for its turn.
	ExpectedWait time.Duration
}

// State returns the limiter's present state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := State{Limit: l.effectiveLimit(), InFlight: l.inFlight, Waiting: len(l.waiters), Latency: l.latency}
	if now := time.Now(); s.Waiting > 0 || !l.hasRoom(now) {
		s.ExpectedWait = l.expectedWait(now)
	}
	return s
}

func (l *Limiter) hasRoom(now time.Time) bool {
	if l.limit < 1 {
		return l.inFlight == 0 && !now.Before(l.nextStart)
	}
	return float64(l.inFlight+1) <= l.effectiveLimit()
}

// effectiveLimit is how many requests may be under way now.
func (l *Limiter) effectiveLimit() float64 { return min(l.limit, l.share.MaxLimit) }

func (l *Limiter) start(now time.Time) *Ticket {
	l.recordStart(now)
	return &Ticket{limiter: l, limitInUse: l.limitInUse(now)}
}

// recordStart counts a request that starts now.
func (l *Limiter) recordStart(now time.Time) {
	l.inFlight++
	if l.firstStart.IsZero() {
		l.firstStart = now
	}
	l.recentStarts.Add(1, startRateTau, now)
}

// limitInUse is how much of the limit is in use: the requests under way or, where
// that is one now and then, how many there are on the mean, which by Little's
// law is their rate times their latency. A host of a large fleet that cut its
// limit from one would have to cut it a dozen times before it sent less.
func (l *Limiter) limitInUse(now time.Time) float64 {
	if l.inFlight > 1 {
		return float64(l.inFlight)
	}
	span := max(decay.EffectiveWindow(startRateTau, now.Sub(l.firstStart)), l.latency.Seconds())
	return min(l.recentStarts.Value(startRateTau, now)*l.latency.Seconds()/span, 1)
}

// expectedWait is how long one more request would wait for its turn.
func (l *Limiter) expectedWait(now time.Time) time.Duration {
	wait := time.Duration(float64(len(l.waiters)+1) / l.effectiveLimit() * float64(l.latency))
	if l.limit < 1 && l.inFlight == 0 {
		wait = max(l.nextStart.Sub(now), 0) + time.Duration(float64(len(l.waiters))/l.limit*float64(l.latency))
	}
	return wait
}

// wakeWaiters lets through the waiters that have room now, and looks again when
// spaced-out requests may start.
func (l *Limiter) wakeWaiters(now time.Time) {
	for len(l.waiters) > 0 && l.hasRoom(now) {
		ch := l.waiters[0]
		l.waiters = l.waiters[1:]
		l.recordStart(now)
		ch <- struct{}{}
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

// Done ends a request that took this long at the upstream.
func (t *Ticket) Done(v Signal, took time.Duration) {
	l, now := t.limiter, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	switch v {
	case InTime:
		l.observeLatency(took)
		l.limit = min(l.limit+limitIncrease*l.share.scale()/max(l.limit, 1), maxLimit)
	case Late:
		l.observeLatency(took)
		l.decrease(lateDecrease, t.limitInUse, now)
	case Full:
		l.decrease(fullDecrease, t.limitInUse, now)
	case NoSignal:
	}
	if l.limit < 1 {
		l.nextStart = now.Add(time.Duration((1/l.limit - 1) * float64(l.latency)))
	}
	l.wakeWaiters(now)
}

func (l *Limiter) observeLatency(took time.Duration) {
	l.latency += time.Duration(latencySmoothing * float64(took-l.latency))
}

// decrease shrinks the limit from what was really used of it, since a limit that
// was not used up says nothing.
func (l *Limiter) decrease(factor, used float64, now time.Time) {
	if now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.limit = max(min(l.limit, used)*factor, l.share.MinLimit)
}
