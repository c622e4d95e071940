package admission

import (
	"context"
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/scheduling"
)

// waiter is a request that waits for its turn.
type waiter struct {
	turn chan struct{}
	// request is nil unless the service is competing.
	request *scheduling.Request
}

// lessUrgent reports whether the request is of a less urgent class of a competing service.
func (w *waiter) lessUrgent() bool { return w.request != nil && w.request.LessUrgent() }

// AcquireRanked is Acquire for a request to a competing service: waiters get their turn by
// urgency, with a share for the less urgent ones, and the expected wait rests on the latency
// of each waiter's class.
func (l *Limiter) AcquireRanked(ctx context.Context, request *scheduling.Request, maxWait time.Duration, limitRange LimitRange) *Ticket {
	return l.acquire(ctx, &waiter{turn: make(chan struct{}, 1), request: request}, maxWait, limitRange)
}

// enqueue adds a waiter: behind all others, or ahead of those with a later rank.
func (l *Limiter) enqueue(w *waiter) {
	l.waiters = slices.Insert(l.waiters, l.position(w), w)
}

// position returns the place of a new waiter.
func (l *Limiter) position(w *waiter) int {
	i := len(l.waiters)
	if w.request == nil {
		return i
	}
	rank := w.request.Rank()
	for i > 0 && l.waiters[i-1].request != nil && rank.Before(l.waiters[i-1].request.Rank()) {
		i--
	}
	return i
}

// next takes the waiter whose turn it is: the first one, or the first of the less urgent ones
// if they are due their share.
func (l *Limiter) next() *waiter {
	i := 0
	if l.waiters[0].request != nil {
		i = max(slices.IndexFunc(l.waiters, (*waiter).lessUrgent), 0)
	}
	if i > 0 && !l.share.LessUrgentDue(l.latencyOf(l.waiters[i])) {
		i = 0
	}
	w := l.waiters[i]
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return w
}

// recordShare records the start of a request to a competing service.
func (l *Limiter) recordShare(w *waiter) {
	if w.request != nil {
		l.share.Started(w.lessUrgent(), slices.ContainsFunc(l.waiters, (*waiter).lessUrgent), l.latencyOf(w))
	}
}

// latencyOf returns the expected latency of the waiter's request: that of its class, if known.
func (l *Limiter) latencyOf(w *waiter) time.Duration {
	if w.request != nil {
		if latency := l.classLatency[w.request.Class]; latency > 0 {
			return latency
		}
	}
	return l.latency
}

// observeClassLatency adds a sample to the smoothed latency of a class.
func (l *Limiter) observeClassLatency(class desired.Class, elapsed time.Duration) {
	if l.classLatency == nil {
		l.classLatency = map[desired.Class]time.Duration{}
	}
	latency, known := l.classLatency[class]
	if !known {
		latency = elapsed
	}
	l.classLatency[class] = latency + time.Duration(latencySmoothing*float64(elapsed-latency))
}

// expectedWaitOf estimates how long the new waiter would wait for its turn.
func (l *Limiter) expectedWaitOf(w *waiter, now time.Time) time.Duration {
	if w.request == nil {
		return l.expectedWait(now)
	}
	var ahead time.Duration
	for _, other := range l.waiters[:l.position(w)] {
		ahead += l.latencyOf(other)
	}
	if l.limit < 1 && l.inFlight == 0 {
		return max(l.nextStart.Sub(now), 0) + time.Duration(float64(ahead)/l.limit)
	}
	// The requests in flight are of all classes.
	return time.Duration(float64(l.latency+ahead) / l.effectiveLimit())
}
