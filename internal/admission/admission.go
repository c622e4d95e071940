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
)

const (
	// startLimit allows a burst at once; an upstream has 3 to 6 slots.
	startLimit = 4.0
	// leastLimit: below one, requests to the upstream are spaced out. A
	// dozen hosts at a limit of one each keep 12 requests at an upstream of
	// 3 slots, three times what it can work on.
	leastLimit = 0.25
	mostLimit  = 32.0
	// growth is added to the limit for each answer in time, shared among
	// the requests under way, so that it grows by growth in one round trip.
	growth = 0.5
	// lateFactor and fullFactor shrink the limit.
	lateFactor = 0.85
	fullFactor = 0.7
	// calm is the least time between two cuts: answers under way when the
	// limit was cut say nothing of the new one.
	calm = 150 * time.Millisecond
	// startLatency is assumed before the first answer.
	startLatency = 150 * time.Millisecond
	smoothing    = 0.2
)

// Verdict is what an end says of the upstream.
type Verdict int

const (
	// InTime means an answer came soon enough.
	InTime Verdict = iota
	// Late means an answer came too late to be worth its full value.
	Late
	// Full means the upstream refused for want of room.
	Full
	// NoSign means the end says nothing of the upstream's load.
	NoSign
)

// Limiter bounds this host's requests under way to one upstream.
type Limiter struct {
	mu    sync.Mutex
	limit float64
	// most is the caller's own bound; see Acquire.
	most     float64
	underWay int
	latency  time.Duration
	cutAt    time.Time
	// nextStart spaces requests out while the limit is below one.
	nextStart time.Time
	waiters   []chan struct{}
	waking    bool
}

// NewLimiter returns a limiter of an upstream not heard of before.
func NewLimiter() *Limiter {
	return &Limiter{limit: startLimit, most: mostLimit, latency: startLatency}
}

// Ticket is the leave to send one request. Done must be called on it.
type Ticket struct {
	l        *Limiter
	underWay int
}

// Acquire returns a ticket, or nil if the request would wait longer than
// patience or ctx ends. It refuses at once where the wait is foreseeable.
// However well the upstream answers, at most most requests are under way.
func (l *Limiter) Acquire(ctx context.Context, patience time.Duration, most int) *Ticket {
	now := time.Now()
	l.mu.Lock()
	l.most = float64(most)
	if len(l.waiters) == 0 && l.room(now) {
		t := l.start()
		l.mu.Unlock()
		return t
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
		return &Ticket{l: l, underWay: l.UnderWay()}
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

// UnderWay returns how many requests are under way.
func (l *Limiter) UnderWay() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.underWay
}

// State is what a limiter decides by, for logs.
type State struct {
	Limit             float64
	UnderWay, Waiting int
	Latency           time.Duration
}

// State returns the limiter's present state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Limit: l.allowed(), UnderWay: l.underWay, Waiting: len(l.waiters), Latency: l.latency}
}

func (l *Limiter) room(now time.Time) bool {
	if l.limit < 1 {
		return l.underWay == 0 && !now.Before(l.nextStart)
	}
	return float64(l.underWay+1) <= l.allowed()
}

// allowed is how many requests may be under way now.
func (l *Limiter) allowed() float64 { return min(l.limit, l.most) }

func (l *Limiter) start() *Ticket {
	l.underWay++
	return &Ticket{l: l, underWay: l.underWay}
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
		l.underWay++
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
func (t *Ticket) Done(v Verdict, took time.Duration) {
	l, now := t.l, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.underWay--
	switch v {
	case InTime:
		l.heard(took)
		l.limit = min(l.limit+growth/max(l.limit, 1), mostLimit)
	case Late:
		l.heard(took)
		l.cut(lateFactor, t.underWay, now)
	case Full:
		l.cut(fullFactor, t.underWay, now)
	case NoSign:
	}
	if l.limit < 1 {
		l.nextStart = now.Add(time.Duration((1/l.limit - 1) * float64(l.latency)))
	}
	l.wake(now)
}

func (l *Limiter) heard(took time.Duration) {
	l.latency += time.Duration(smoothing * float64(took-l.latency))
}

// cut shrinks the limit from what was really under way, since a limit that
// was not used up says nothing.
func (l *Limiter) cut(factor float64, underWay int, now time.Time) {
	if now.Sub(l.cutAt) < calm {
		return
	}
	l.cutAt = now
	l.limit = max(min(l.limit, float64(underWay))*factor, leastLimit)
}
