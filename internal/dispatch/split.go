package dispatch

import (
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/papayatide/papayatide/internal/desired"
)

// splitter divides a route's requests among its shares by smooth weighted round
// robin. Random selection would miss the proportions on routes with few requests.
type splitter struct {
	mu sync.Mutex
	// credits holds the counters of the routes of one version of the desired state, one
	// for each share of a route.
	credits map[*desired.Route][]int
	version int64
}

// pick returns the service for the next request of a route of the given version of the
// desired state.
func (s *splitter) pick(version int64, route *desired.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credits == nil || s.version != version {
		s.version, s.credits = version, map[*desired.Route][]int{}
	}
	total := 0
	for _, share := range route.Shares {
		total += share.Weight
	}
	credit, started := s.credits[route]
	if !started {
		credit = make([]int, len(route.Shares))
		s.credits[route] = credit
	}
	best := 0
	for i, share := range route.Shares {
		credit[i] += share.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	if !started {
		// Hosts that all began with the heaviest share would send it nearly all requests of a
		// route with many hosts and few requests.
		best = randomShare(route.Shares, total)
	}
	credit[best] -= total
	return route.Shares[best].Service
}

// randomShare returns the index of a share at random, in proportion to the weights, which add
// up to total.
func randomShare(shares []desired.Share, total int) int {
	if total <= 0 {
		return 0
	}
	n := rand.IntN(total)
	for i, share := range shares {
		if n -= share.Weight; n < 0 {
			return i
		}
	}
	return 0
}

// splitList splits a comma-separated header value.
func splitList(v string) []string {
	parts := strings.Split(v, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
