package dispatch

import (
	"strings"
	"sync"

	"github.com/papayatide/papayatide/internal/desired"
)

// splitter divides a route's requests among its shares in the exact
// proportions of their weights, by smooth weighted round robin: random
// draws would miss the proportions on routes with few requests.
type splitter struct {
	mu      sync.Mutex
	credits map[*desired.Route][]int
}

// maxSplits bounds the routes of past versions that are remembered.
const maxSplitRoutes = 1024

func newSplitter() *splitter { return &splitter{credits: map[*desired.Route][]int{}} }

func (s *splitter) pick(r *desired.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credits[r]
	if credit == nil {
		if len(s.credits) >= maxSplitRoutes {
			clear(s.credits)
		}
		credit = make([]int, len(r.Shares))
		s.credits[r] = credit
	}
	total, best := 0, 0
	for i, sh := range r.Shares {
		total += sh.Weight
		credit[i] += sh.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Shares[best].Service
}

func splitList(v string) []string {
	parts := strings.Split(v, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
