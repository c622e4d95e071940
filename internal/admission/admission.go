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
	// startLimit allows a dozen hosts a burst at once; an upstream has 3 to
	// 6 slots.
	startLimit = 4.0
	// leastLimit: below one, requests to the upstream are spaced out. A
	// dozen hosts at a limit of one each keep 12 requests at an upstream of
	// 3 slots, three times what it can work on. It is the floor of a dozen
	// hosts; see ShareOf for more.
	leastLimit = 0.25
	mostLimit  = 32.0
	// growth is added to the limit for each answer in time, shared among
	// the requests under way, so that it grows by growth in one round trip.
	// Hosts of a larger fleet, whose floors are lower, add less in
	// proportion.
	growth = 0.5
	// lateFactor and fullFactor shrink the limit.
	lateFactor = 0.85
	fullFactor = 0.7
	// calm is the least time between two cuts: answers under way when the
	// limit was cut say nothing of the new one.
	calm = 150 * time.Millisecond
	// startLatency is assumed before the first answer.
	startLatency = 150 * time.Millisecond
	// startMemory is the time constant of the rate of a host's requests to
	// an upstream. One host of a large fleet sends one in several seconds.
	startMemory = 10 * time.Second
	smoothing   = 0.2
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
	firstStart time.Time
	starts     decay.Sum
	underWay   int
	latency    time.Duration
	cutAt      time.Time
	// nextStart spaces requests out while the limit is below one.
	nextStart time.Time
	waiters   []chan struct{}
	waking    bool
}

// NewLimiter returns a limiter of an upstream not heard of before.
func NewLimiter() *Limiter {
	return &Limiter{limit: startLimit, share: Share{Most: mostLimit, Least: leastLimit}, latency: startLatency}
}

// Share is a host's part of an upstream that a fleet shares.
type Share struct {
	// Most bounds its requests under way, Least is how far its limit may
	// shrink.
	Most, Least float64
}

// uneven is how much more than its even part of an upstream's connections a
// host may use: callers are not spread evenly over hosts, nor is a busy key.
// On a day of heavy load an even part earned 0.51 of the worth, twice that
// 0.66 without a connection reset, four times that 0.67 with 88 resets.
const uneven = 2

// floors is how many requests for each slot all hosts at their floors keep
// under way together. Lower ones refuse sooner but recover too slowly: a host
// of a large fleet hears of an upstream once in several seconds. On a heavy
// day of 91 hosts the keyed class earned 0.67 of its worth with 8, 0.52 to
// 0.57 with 1 and 0.56 with 3.
const floors = 8

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
	s := Share{Most: mostLimit, Least: min(leastLimit, floors*float64(slots)/float64(hosts))}
	if connections > 0 {
		s.Most = min(s.Most, max(float64(uneven*connections/hosts), 1))
	}
	return s
}

// Ticket is the leave to send one request. Done must be called on it.
type Ticket struct {
	l *Limiter
	// used is how much of the limit was in use when the request started.
	used float64
}

// Acquire returns a ticket, or nil if the request would wait longer than
// patience or ctx ends. It refuses at once where the wait is foreseeable.
func (l *Limiter) Acquire(ctx context.Context, patience time.Duration, share Share) *Ticket {
	now := time.Now()
	l.mu.Lock()
	l.take(share)
	if len(l.waiters) == 0 && l.room(now) {
		defer l.mu.Unlock()
		return l.start(now)
	}
	if l.expectedWait(now) > patience {
		l.mu.Unlock()
		return nil
	}
	ch := make(chan struct{}, 1)
	l.waiters = append(l.waiters, ch)
	l.wake(now)
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
		return &Ticket{l: l, used: l.used(time.Now())}
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
	l.underWay--
	l.wake(time.Now())
	return nil
}

// take adopts the share. A limit that was never used starts in proportion.
func (l *Limiter) take(s Share) {
	if l.firstStart.IsZero() {
		l.limit = max(startLimit*s.part(), 1)
	}
	l.share = s
}

// part is how much less than a dozen hosts' floor the share's is.
func (s Share) part() float64 { return s.Least / leastLimit }

// InFlight returns how many requests are under way.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.underWay
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
	s := State{Limit: l.allowed(), InFlight: l.underWay, Waiting: len(l.waiters), Latency: l.latency}
	if now := time.Now(); s.Waiting > 0 || !l.room(now) {
		s.ExpectedWait = l.expectedWait(now)
	}
	return s
}

func (l *Limiter) room(now time.Time) bool {
	if l.limit < 1 {
		return l.underWay == 0 && !now.Before(l.nextStart)
	}
	return float64(l.underWay+1) <= l.allowed()
}

// allowed is how many requests may be under way now.
func (l *Limiter) allowed() float64 { return min(l.limit, l.share.Most) }

func (l *Limiter) start(now time.Time) *Ticket {
	l.countStart(now)
	return &Ticket{l: l, used: l.used(now)}
}

// countStart counts a request that starts now.
func (l *Limiter) countStart(now time.Time) {
	l.underWay++
	if l.firstStart.IsZero() {
		l.firstStart = now
	}
	l.starts.Add(1, startMemory, now)
}

// used is how much of the limit is in use: the requests under way or, where
// that is one now and then, how many there are on the mean, which by Little's
// law is their rate times their latency. A host of a large fleet that cut its
// limit from one would have to cut it a dozen times before it sent less.
func (l *Limiter) used(now time.Time) float64 {
	if l.underWay > 1 {
		return float64(l.underWay)
	}
	span := max(decay.EffectiveWindow(startMemory, now.Sub(l.firstStart)), l.latency.Seconds())
	return min(l.starts.Value(startMemory, now)*l.latency.Seconds()/span, 1)
}

// expectedWait is how long one more request would wait for its turn.
func (l *Limiter) expectedWait(now time.Time) time.Duration {
	wait := time.Duration(float64(len(l.waiters)+1) / l.allowed() * float64(l.latency))
	if l.limit < 1 && l.underWay == 0 {
		wait = max(l.nextStart.Sub(now), 0) + time.Duration(float64(len(l.waiters))/l.limit*float64(l.latency))
	}
	return wait
}

// wake lets through the waiters that have room now, and looks again when
// spaced-out requests may start.
func (l *Limiter) wake(now time.Time) {
	for len(l.waiters) > 0 && l.room(now) {
		ch := l.waiters[0]
		l.waiters = l.waiters[1:]
		l.countStart(now)
		ch <- struct{}{}
	}
	if len(l.waiters) == 0 || l.underWay > 0 || l.waking {
		return
	}
	l.waking = true
	time.AfterFunc(l.nextStart.Sub(now), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.waking = false
		l.wake(time.Now())
	})
}

// Done ends a request that took this long at the upstream.
func (t *Ticket) Done(v Signal, took time.Duration) {
	l, now := t.l, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.underWay--
	switch v {
	case InTime:
		l.heard(took)
		l.limit = min(l.limit+growth*l.share.part()/max(l.limit, 1), mostLimit)
	case Late:
		l.heard(took)
		l.cut(lateFactor, t.used, now)
	case Full:
		l.cut(fullFactor, t.used, now)
	case NoSignal:
	}
	if l.limit < 1 {
		l.nextStart = now.Add(time.Duration((1/l.limit - 1) * float64(l.latency)))
	}
	l.wake(now)
}

func (l *Limiter) heard(took time.Duration) {
	l.latency += time.Duration(smoothing * float64(took-l.latency))
}

// cut shrinks the limit from what was really used of it, since a limit that
// was not used up says nothing.
func (l *Limiter) cut(factor, used float64, now time.Time) {
	if now.Sub(l.cutAt) < calm {
		return
	}
	l.cutAt = now
	l.limit = max(min(l.limit, used)*factor, l.share.Least)
}
