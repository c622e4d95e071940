package ratelimit

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// askTimeout bounds a question to the allocator; undisturbed it is answered in
	// a few milliseconds.
	askTimeout = 150 * time.Millisecond
	// askAgain is the pause after a question that was not answered.
	askAgain = 500 * time.Millisecond
	// grantFor is how long leave may be used.
	grantFor = 500 * time.Millisecond
	// grantSpan is the time for which a host asks for leave at once.
	grantSpan = 200 * time.Millisecond
	// aloneShare is the part of its equal share that a host takes which does not
	// reach the allocator.
	aloneShare = 0.5
	// leastWait and mostWait bound the time for which a host does not ask again.
	leastWait = time.Millisecond
	mostWait  = time.Second
)

// PermitFunc asks the allocator for leave for up to want requests to an upstream that
// takes perSecond.
type PermitFunc func(ctx context.Context, upstream string, perSecond float64, want int) (Permit, error)

// allowance is what a host may send to one upstream.
type allowance struct {
	// granted requests may be sent until grantEnds.
	granted   int
	grantEnds time.Time
	// closedUntil is when the allocator is to be asked again.
	closedUntil time.Time
	gate        IntervalLimiter
}

// Limiter keeps one host to its part of upstreams' limits. It is safe for
// concurrent use.
type Limiter struct {
	bounds Bounds
	ask    PermitFunc

	mu sync.Mutex
	by map[string]*allowance
	// hosts is how many share the upstreams; 0 if that is not known.
	hosts int
	// aloneUntil is when the allocator is to be asked again after it did not answer.
	aloneUntil time.Time
}

// NewLimiter returns a limiter that asks for leave with ask. The bounds are for
// hosts that get no answer.
func NewLimiter(b Bounds, ask PermitFunc) *Limiter {
	return &Limiter{bounds: b, ask: ask, by: map[string]*allowance{}}
}

// SetHostCount tells how many hosts share the upstreams; 0 if that is not known.
func (l *Limiter) SetHostCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = n
}

func (l *Limiter) of(id string) *allowance {
	a := l.by[id]
	if a == nil {
		a = &allowance{}
		l.by[id] = a
	}
	return a
}

// RetryAfter returns for how long requests to the upstream would certainly be turned
// down; 0 if one may be tried.
func (l *Limiter) RetryAfter(id string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.by[id]; a != nil {
		return max(a.closedUntil.Sub(now), 0)
	}
	return 0
}

// Take reports whether a request may be sent now to an upstream that takes
// perSecond, and if not, how long it is until one may be.
func (l *Limiter) Take(ctx context.Context, id string, perSecond float64) (ok bool, wait time.Duration) {
	now := time.Now()
	ok, wait, want := l.takeOwn(id, perSecond, now)
	if ok || want == 0 {
		return ok, wait
	}
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	g, err := l.ask(asking, id, perSecond, want)
	if ctx.Err() != nil {
		return false, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = time.Now()
	if err != nil {
		l.aloneUntil = now.Add(askAgain)
		return l.takeAlone(l.of(id), perSecond, now)
	}
	return l.of(id).receive(g, now)
}

// takeOwn takes leave that the host has already, or as much of its own share as
// it may have without the allocator. If it has neither and may ask, it returns for
// how many requests.
func (l *Limiter) takeOwn(id string, perSecond float64, now time.Time) (ok bool, wait time.Duration, want int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.of(id)
	switch {
	case a.granted > 0 && now.Before(a.grantEnds):
		a.granted--
		return true, 0, 0
	case now.Before(a.closedUntil):
		return false, a.closedUntil.Sub(now), 0
	case now.Before(l.aloneUntil):
		ok, wait = l.takeAlone(a, perSecond, now)
		return ok, wait, 0
	}
	return false, 0, max(int(math.Ceil(perSecond*grantSpan.Seconds()/float64(max(l.hosts, 1)))), 1)
}

// receive takes in the allocator's answer.
func (a *allowance) receive(g Permit, now time.Time) (ok bool, wait time.Duration) {
	if g.Requests == 0 {
		return false, a.close(g.Wait, now)
	}
	a.granted, a.grantEnds = g.Requests-1, now.Add(grantFor)
	return true, 0
}

// close turns requests down for a time, which it returns.
func (a *allowance) close(wait time.Duration, now time.Time) time.Duration {
	wait = min(max(wait, leastWait), mostWait)
	a.closedUntil = now.Add(wait)
	return wait
}

// takeAlone takes of the host's own share. Without a known number of hosts there
// is none, so that a new host cannot exceed the limit.
func (l *Limiter) takeAlone(a *allowance, perSecond float64, now time.Time) (ok bool, wait time.Duration) {
	if l.hosts == 0 {
		return false, a.close(askAgain, now)
	}
	share := HostRate(l.bounds.UncoordinatedRate(perSecond) * aloneShare / float64(l.hosts))
	if a.gate.Take(share, now.Add(longest), now) {
		return true, 0
	}
	return false, a.close(a.gate.next.Sub(now), now)
}

// Prune forgets upstreams for which limited is false.
func (l *Limiter) Prune(limited func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.by {
		if !limited(id) {
			delete(l.by, id)
		}
	}
}
