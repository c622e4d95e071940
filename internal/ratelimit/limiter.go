package ratelimit

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// permitCallTimeout bounds a question to the allocator; undisturbed it is answered in
	// a few milliseconds.
	permitCallTimeout = 150 * time.Millisecond
	// permitRetryInterval is the pause after a question that was not answered.
	permitRetryInterval = 500 * time.Millisecond
	// permitTTL is how long leave may be used.
	permitTTL = 500 * time.Millisecond
	// permitBatchSpan is the time for which a host asks for leave at once.
	permitBatchSpan = 200 * time.Millisecond
	// fallbackShare is the part of its equal share that a host takes which does not
	// reach the allocator.
	fallbackShare = 0.5
	// minDenyTime and mostWait bound the time for which a host does not ask again.
	minDenyTime = time.Millisecond
	maxDenyTime = time.Second
)

// PermitFunc asks the allocator for leave for up to want requests to an upstream that
// takes perSecond.
type PermitFunc func(ctx context.Context, upstream string, perSecond float64, want int) (Permit, error)

// upstreamState is what a host may send to one upstream.
type upstreamState struct {
	// permits requests may be sent until grantEnds.
	permits         int
	permitsExpireAt time.Time
	// deniedUntil is when the allocator is to be asked again.
	deniedUntil time.Time
	fallback    IntervalLimiter
}

// Limiter keeps one host to its part of upstreams' limits. It is safe for
// concurrent use.
type Limiter struct {
	bounds         Bounds
	requestPermits PermitFunc

	mu        sync.Mutex
	upstreams map[string]*upstreamState
	// hosts is how many share the upstreams; 0 if that is not known.
	hosts int
	// fallbackUntil is when the allocator is to be asked again after it did not answer.
	fallbackUntil time.Time
}

// NewLimiter returns a limiter that asks for leave with ask. The bounds are for
// hosts that get no answer.
func NewLimiter(b Bounds, ask PermitFunc) *Limiter {
	return &Limiter{bounds: b, requestPermits: ask, upstreams: map[string]*upstreamState{}}
}

// SetHostCount tells how many hosts share the upstreams; 0 if that is not known.
func (l *Limiter) SetHostCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = n
}

func (l *Limiter) state(id string) *upstreamState {
	a := l.upstreams[id]
	if a == nil {
		a = &upstreamState{}
		l.upstreams[id] = a
	}
	return a
}

// RetryAfter returns for how long requests to the upstream would certainly be turned
// down; 0 if one may be tried.
func (l *Limiter) RetryAfter(id string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.upstreams[id]; a != nil {
		return max(a.deniedUntil.Sub(now), 0)
	}
	return 0
}

// Take reports whether a request may be sent now to an upstream that takes
// perSecond, and if not, how long it is until one may be.
func (l *Limiter) Take(ctx context.Context, id string, perSecond float64) (ok bool, wait time.Duration) {
	now := time.Now()
	ok, wait, want := l.takeLocal(id, perSecond, now)
	if ok || want == 0 {
		return ok, wait
	}
	asking, cancel := context.WithTimeout(ctx, permitCallTimeout)
	defer cancel()
	g, err := l.requestPermits(asking, id, perSecond, want)
	if ctx.Err() != nil {
		return false, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = time.Now()
	if err != nil {
		l.fallbackUntil = now.Add(permitRetryInterval)
		return l.takeFallback(l.state(id), perSecond, now)
	}
	return l.state(id).applyPermit(g, now)
}

// takeLocal takes leave that the host has already, or as much of its own share as
// it may have without the allocator. If it has neither and may ask, it returns for
// how many requests.
func (l *Limiter) takeLocal(id string, perSecond float64, now time.Time) (ok bool, wait time.Duration, want int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.state(id)
	switch {
	case a.permits > 0 && now.Before(a.permitsExpireAt):
		a.permits--
		return true, 0, 0
	case now.Before(a.deniedUntil):
		return false, a.deniedUntil.Sub(now), 0
	case now.Before(l.fallbackUntil):
		ok, wait = l.takeFallback(a, perSecond, now)
		return ok, wait, 0
	}
	return false, 0, max(int(math.Ceil(perSecond*permitBatchSpan.Seconds()/float64(max(l.hosts, 1)))), 1)
}

// applyPermit takes in the allocator's answer.
func (a *upstreamState) applyPermit(g Permit, now time.Time) (ok bool, wait time.Duration) {
	if g.Requests == 0 {
		return false, a.deny(g.Wait, now)
	}
	a.permits, a.permitsExpireAt = g.Requests-1, now.Add(permitTTL)
	return true, 0
}

// deny turns requests down for a time, which it returns.
func (a *upstreamState) deny(wait time.Duration, now time.Time) time.Duration {
	wait = min(max(wait, minDenyTime), maxDenyTime)
	a.deniedUntil = now.Add(wait)
	return wait
}

// takeFallback takes of the host's own share. Without a known number of hosts there
// is none, so that a new host cannot exceed the limit.
func (l *Limiter) takeFallback(a *upstreamState, perSecond float64, now time.Time) (ok bool, wait time.Duration) {
	if l.hosts == 0 {
		return false, a.deny(permitRetryInterval, now)
	}
	share := HostRate(l.bounds.UncoordinatedRate(perSecond) * fallbackShare / float64(l.hosts))
	if a.fallback.Take(share, now.Add(maxInterval), now) {
		return true, 0
	}
	return false, a.deny(a.fallback.nextAllowed.Sub(now), now)
}

// Prune forgets upstreams for which limited is false.
func (l *Limiter) Prune(limited func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.upstreams {
		if !limited(id) {
			delete(l.upstreams, id)
		}
	}
}
