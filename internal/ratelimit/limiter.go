package ratelimit

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// permitCallTimeout bounds a call for permits, which normally takes a few
	// milliseconds.
	permitCallTimeout = 150 * time.Millisecond
	// permitRetryInterval is the time between calls after one has failed.
	permitRetryInterval = 500 * time.Millisecond
	// permitTTL is how long permits may be used after they were received.
	permitTTL = 500 * time.Millisecond
	// permitBatchSpan sets the size of a request for permits: as many as the host's
	// equal share of the limit allows in this time, but at least one.
	permitBatchSpan = 200 * time.Millisecond
	// fallbackFraction is the fraction of its equal share of the limit that a host uses
	// when it can't reach the allocator; the others may still get permits.
	fallbackFraction = 0.5
	// minDenyTime and maxDenyTime bound the time for which requests are denied before
	// the allocator is called again.
	minDenyTime = time.Millisecond
	maxDenyTime = time.Second
)

// PermitFunc requests permits from the allocator for up to want requests under a
// limit of perSecond. Its error means that the allocator could not be reached.
type PermitFunc func(ctx context.Context, limitID string, perSecond float64, want int) (PermitReply, error)

// limitState is the state of one limit on this host.
type limitState struct {
	// permits is the number of unused permits; they expire at permitsExpireAt.
	permits         int
	permitsExpireAt time.Time
	// deniedUntil is the time until which requests are denied without a call.
	deniedUntil time.Time
	// fallback limits requests while the allocator is unreachable.
	fallback IntervalLimiter
}

// Limiter keeps one host to its part of the rate limits that all hosts share. The ID of
// a limit is the upstream's; for suspect requests, whose limit is per fingerprint, package
// dispatch makes an ID from the fingerprint. A Limiter is safe for concurrent use.
type Limiter struct {
	bounds         Bounds
	requestPermits PermitFunc

	mu sync.Mutex
	// limits holds the state of limits by ID.
	limits map[string]*limitState
	// hosts is the number of hosts that share the upstreams; 0 if unknown.
	hosts int
	// fallbackUntil is the time until which the allocator, after a failed call, is not
	// called again.
	fallbackUntil time.Time
}

// NewLimiter returns a limiter that gets permits with requestPermits. The bounds
// apply while those calls fail.
func NewLimiter(b Bounds, requestPermits PermitFunc) *Limiter {
	return &Limiter{bounds: b, requestPermits: requestPermits, limits: map[string]*limitState{}}
}

// SetHostCount sets the number of hosts that share the upstreams; 0 if unknown.
func (l *Limiter) SetHostCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = n
}

// state returns the limit's state; l.mu must be held.
func (l *Limiter) state(limitID string) *limitState {
	s := l.limits[limitID]
	if s == nil {
		s = &limitState{}
		l.limits[limitID] = s
	}
	return s
}

// RetryAfter returns for how long requests under the limit will certainly be denied;
// 0 if they may be allowed.
func (l *Limiter) RetryAfter(limitID string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.limits[limitID]; s != nil {
		return max(s.deniedUntil.Sub(now), 0)
	}
	return 0
}

// Take reports whether a request may be sent now under a limit of perSecond, and
// counts it. If not, wait is the time until the next may be allowed, or 0 if ctx
// has ended.
func (l *Limiter) Take(ctx context.Context, limitID string, perSecond float64) (ok bool, wait time.Duration) {
	now := time.Now()
	ok, wait, want := l.takeLocal(limitID, perSecond, now)
	if ok || want == 0 {
		return ok, wait
	}
	callCtx, cancel := context.WithTimeout(ctx, permitCallTimeout)
	defer cancel()
	reply, err := l.requestPermits(callCtx, limitID, perSecond, want)
	if ctx.Err() != nil {
		return false, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = time.Now()
	if err != nil {
		l.fallbackUntil = now.Add(permitRetryInterval)
		return l.takeFallback(l.state(limitID), perSecond, now)
	}
	return l.state(limitID).applyReply(reply, now)
}

// takeLocal decides without a call where it can: by permits that the host holds, by
// an earlier denial, or by the fallback. Otherwise it returns in want the number of
// permits to request, which is 0 if it has decided.
func (l *Limiter) takeLocal(limitID string, perSecond float64, now time.Time) (ok bool, wait time.Duration, want int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(limitID)
	switch {
	case s.permits > 0 && now.Before(s.permitsExpireAt):
		s.permits--
		return true, 0, 0
	case now.Before(s.deniedUntil):
		return false, s.deniedUntil.Sub(now), 0
	case now.Before(l.fallbackUntil):
		ok, wait = l.takeFallback(s, perSecond, now)
		return ok, wait, 0
	}
	return false, 0, max(int(math.Ceil(perSecond*permitBatchSpan.Seconds()/float64(max(l.hosts, 1)))), 1)
}

// applyReply applies the allocator's reply. The current request uses the first
// permit.
func (s *limitState) applyReply(reply PermitReply, now time.Time) (ok bool, wait time.Duration) {
	if reply.Permits == 0 {
		return false, s.deny(reply.Wait, now)
	}
	s.permits, s.permitsExpireAt = reply.Permits-1, now.Add(permitTTL)
	return true, 0
}

// deny denies further requests for wait, clamped to [minDenyTime, maxDenyTime], and
// returns the clamped wait.
func (s *limitState) deny(wait time.Duration, now time.Time) time.Duration {
	wait = min(max(wait, minDenyTime), maxDenyTime)
	s.deniedUntil = now.Add(wait)
	return wait
}

// takeFallback allows a request at a fraction of the host's equal share of the limit.
// With an unknown number of hosts it denies all: a host that has just started could
// otherwise exceed the limit.
func (l *Limiter) takeFallback(s *limitState, perSecond float64, now time.Time) (ok bool, wait time.Duration) {
	if l.hosts == 0 {
		return false, s.deny(permitRetryInterval, now)
	}
	rate := HostRate(l.bounds.UncoordinatedRate(perSecond) * fallbackFraction / float64(l.hosts))
	if s.fallback.Take(rate, now.Add(maxInterval), now) {
		return true, 0
	}
	return false, s.deny(s.fallback.nextAllowed.Sub(now), now)
}

// Prune deletes the state of limits for which limited is false.
func (l *Limiter) Prune(limited func(limitID string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for limitID := range l.limits {
		if !limited(limitID) {
			delete(l.limits, limitID)
		}
	}
}
