package ratelimit

import (
	"sync"
	"time"
)

// PermitReply is the allocator's reply to a host's request for permits.
type PermitReply struct {
	// Permits is the number of permits issued, each for one request within
	// permitTTL; 0 if none is due.
	Permits int
	// Wait is the time until the next permit is due if none is due now.
	Wait time.Duration
}

const (
	// minBurst is the minimum capacity of a bucket, the number of requests that may
	// be sent at once after an idle period.
	minBurst = 1.0
	// burstWindow is the capacity of a bucket, as the time in which it fills at the
	// limit.
	burstWindow = 250 * time.Millisecond
	// bucketIdleTimeout is how long an unused bucket is kept. Deleting a bucket
	// resets it to a single token. By then it holds at least that again, so hosts
	// get no extra permits, unless the limit is below one request in 30 s.
	bucketIdleTimeout = 30 * time.Second
	// maxBuckets bounds the memory that buckets take.
	maxBuckets = 4096
)

// bucket is the token bucket of one limit.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// Allocator divides rate limits among the hosts that request permits. It is safe
// for concurrent use.
type Allocator struct {
	mu sync.Mutex
	// buckets holds the buckets by limit ID; see Limiter.
	buckets map[string]*bucket
}

// NewAllocator returns an allocator that has issued no permits.
func NewAllocator() *Allocator { return &Allocator{buckets: map[string]*bucket{}} }

// Take issues permits for up to want requests under a limit of perSecond. A new
// bucket holds a single token: the previous planner may have emptied its own
// bucket just before.
func (a *Allocator) Take(limitID string, perSecond float64, want int, now time.Time) PermitReply {
	if perSecond <= 0 {
		return PermitReply{Wait: maxInterval}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[limitID]
	if b == nil {
		a.prune(now)
		b = &bucket{tokens: 1, updatedAt: now}
		a.buckets[limitID] = b
	}
	b.tokens = min(b.tokens+perSecond*now.Sub(b.updatedAt).Seconds(), max(minBurst, perSecond*burstWindow.Seconds()))
	b.updatedAt = now
	n := min(int(b.tokens), want)
	b.tokens -= float64(n)
	if n == 0 {
		return PermitReply{Wait: time.Duration((1 - b.tokens) / perSecond * float64(time.Second))}
	}
	return PermitReply{Permits: n}
}

// prune deletes idle buckets, or all of them if there are too many.
func (a *Allocator) prune(now time.Time) {
	if len(a.buckets) >= maxBuckets {
		clear(a.buckets)
	}
	for id, b := range a.buckets {
		if now.Sub(b.updatedAt) > bucketIdleTimeout {
			delete(a.buckets, id)
		}
	}
}
