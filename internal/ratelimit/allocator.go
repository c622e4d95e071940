package ratelimit

import (
	"sync"
	"time"
)

// Permit is the allocator's answer to a host that asks for leave to send.
type Permit struct {
	// Requests is how many may be sent, within grantFor; 0 for none.
	Requests int
	// Wait is how long it is until the next leave can be given, if there is none
	// now.
	Wait time.Duration
}

const (
	// minBurst is how many requests at least may be sent at once after a pause.
	minBurst = 1.0
	// burstWindow is that number for higher rates, as the time in which the rate brings
	// as many.
	burstWindow = 250 * time.Millisecond
	// bucketIdleTimeout is how long after its last use a bucket is kept. By then it is full
	// again.
	bucketIdleTimeout = 30 * time.Second
	// maxBuckets is how many buckets are kept at most.
	maxBuckets = 4096
)

// bucket holds the leave that has gathered for one upstream.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// Allocator divides upstreams' limits among the hosts that ask. It is safe for
// concurrent use.
type Allocator struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// NewAllocator returns an allocator that has given no leave yet.
func NewAllocator() *Allocator { return &Allocator{buckets: map[string]*bucket{}} }

// Take gives leave for up to want requests to an upstream that takes perSecond. A
// new bucket holds one request only: another allocator may have emptied its own
// just before.
func (a *Allocator) Take(upstream string, perSecond float64, want int, now time.Time) Permit {
	if perSecond <= 0 {
		return Permit{Wait: maxInterval}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[upstream]
	if b == nil {
		a.prune(now)
		b = &bucket{tokens: 1, updatedAt: now}
		a.buckets[upstream] = b
	}
	b.tokens = min(b.tokens+perSecond*now.Sub(b.updatedAt).Seconds(), max(minBurst, perSecond*burstWindow.Seconds()))
	b.updatedAt = now
	n := min(int(b.tokens), want)
	b.tokens -= float64(n)
	if n == 0 {
		return Permit{Wait: time.Duration((1 - b.tokens) / perSecond * float64(time.Second))}
	}
	return Permit{Requests: n}
}

// prune forgets buckets that nobody uses any more.
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
