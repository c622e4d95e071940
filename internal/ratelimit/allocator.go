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
	// leastBurst is how many requests at least may be sent at once after a pause.
	leastBurst = 1.0
	// burst is that number for higher rates, as the time in which the rate brings
	// as many.
	burst = 250 * time.Millisecond
	// unusedFor is how long after its last use a bucket is kept. By then it is full
	// again.
	unusedFor = 30 * time.Second
	// maxBuckets is how many buckets are kept at most.
	maxBuckets = 4096
)

// bucket holds the leave that has gathered for one upstream.
type bucket struct {
	requests float64
	at       time.Time
}

// Allocator divides upstreams' limits among the hosts that ask. It is safe for
// concurrent use.
type Allocator struct {
	mu sync.Mutex
	by map[string]*bucket
}

// NewAllocator returns an allocator that has given no leave yet.
func NewAllocator() *Allocator { return &Allocator{by: map[string]*bucket{}} }

// Take gives leave for up to want requests to an upstream that takes perSecond. A
// new bucket holds one request only: another allocator may have emptied its own
// just before.
func (a *Allocator) Take(upstream string, perSecond float64, want int, now time.Time) Permit {
	if perSecond <= 0 {
		return Permit{Wait: longest}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.by[upstream]
	if b == nil {
		a.prune(now)
		b = &bucket{requests: 1, at: now}
		a.by[upstream] = b
	}
	b.requests = min(b.requests+perSecond*now.Sub(b.at).Seconds(), max(leastBurst, perSecond*burst.Seconds()))
	b.at = now
	n := min(int(b.requests), want)
	b.requests -= float64(n)
	if n == 0 {
		return Permit{Wait: time.Duration((1 - b.requests) / perSecond * float64(time.Second))}
	}
	return Permit{Requests: n}
}

// prune forgets buckets that nobody uses any more.
func (a *Allocator) prune(now time.Time) {
	if len(a.by) >= maxBuckets {
		clear(a.by)
	}
	for id, b := range a.by {
		if now.Sub(b.at) > unusedFor {
			delete(a.by, id)
		}
	}
}
