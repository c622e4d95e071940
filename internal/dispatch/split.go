package dispatch

import (
	"strings"
	"sync"

	"github.com/papayatide/papayatide/internal/desired"
)

// splitter divides a route's requests among its shares by smooth weighted round
// robin. Random selection would miss the proportions on routes with few requests.
type splitter struct {
	mu sync.Mutex
	// credits holds the counters of each route, one for each of its shares.
	credits map[*desired.Route][]int
}

// maxSplitRoutes bounds the map, which also holds routes of earlier versions of the
// desired state.
const maxSplitRoutes = 1024

func newSplitter() *splitter { return &splitter{credits: map[*desired.Route][]int{}} }

// pick returns the service for the next request of the route.
func (s *splitter) pick(route *desired.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credits[route]
	if credit == nil {
		if len(s.credits) >= maxSplitRoutes {
			clear(s.credits)
		}
		credit = make([]int, len(route.Shares))
		s.credits[route] = credit
	}
	total, best := 0, 0
	for i, share := range route.Shares {
		total += share.Weight
		credit[i] += share.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return route.Shares[best].Service
}

// splitList splits a comma-separated header value.
func splitList(v string) []string {
	parts := strings.Split(v, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
