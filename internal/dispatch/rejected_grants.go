package dispatch

import (
	"sync"
	"time"
)

// unheldFor is how long after an upstream refused a key it does not hold no
// other request under the same grant is sent to it: each would be refused
// too, and would draw on the repeat budget.
const rejectedGrantRetention = 120 * time.Millisecond

// grantKey names what an upstream was refused under: the grant of one token.
type grantKey struct {
	service, upstream string
	fencingToken      int64
}

// rejectedGrants remembers which grants upstreams lately said they do not hold.
type rejectedGrants struct {
	mu         sync.Mutex
	rejectedAt map[grantKey]time.Time
}

func newRejectedGrants() *rejectedGrants {
	return &rejectedGrants{rejectedAt: map[grantKey]time.Time{}}
}

func (h *rejectedGrants) record(service string, fence int64, upstream string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejectedAt[grantKey{service, upstream, fence}] = now
}

func (h *rejectedGrants) recent(service string, fence int64, upstream string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.rejectedAt[grantKey{service, upstream, fence}]
	return ok && now.Sub(at) < rejectedGrantRetention
}

func (h *rejectedGrants) prune(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, at := range h.rejectedAt {
		if now.Sub(at) > rejectedGrantRetention {
			delete(h.rejectedAt, k)
		}
	}
}
