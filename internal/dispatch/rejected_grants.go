package dispatch

import (
	"sync"
	"time"
)

// rejectedGrantRetention is how long no further request is sent under a grant that the
// upstream has rejected as not its own. Each would be rejected too and use up retry budget.
const rejectedGrantRetention = 120 * time.Millisecond

// grantKey identifies one upstream's grant by its fencing token.
type grantKey struct {
	service, upstream string
	fencingToken      int64
}

// rejectedGrants records when upstreams rejected requests under grants that they do not
// hold.
type rejectedGrants struct {
	mu         sync.Mutex
	rejectedAt map[grantKey]time.Time
}

func newRejectedGrants() *rejectedGrants {
	return &rejectedGrants{rejectedAt: map[grantKey]time.Time{}}
}

func (g *rejectedGrants) record(service string, fencingToken int64, upstream string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rejectedAt[grantKey{service, upstream, fencingToken}] = now
}

// recent reports whether the upstream rejected the grant within rejectedGrantRetention.
func (g *rejectedGrants) recent(service string, fencingToken int64, upstream string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.rejectedAt[grantKey{service, upstream, fencingToken}]
	return ok && now.Sub(at) < rejectedGrantRetention
}

func (g *rejectedGrants) prune(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, at := range g.rejectedAt {
		if now.Sub(at) > rejectedGrantRetention {
			delete(g.rejectedAt, key)
		}
	}
}
