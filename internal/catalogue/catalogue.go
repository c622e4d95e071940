// Package catalogue holds what the platform says of the upstreams that are
// running: where they are, how much they take at once, who is leaving.
package catalogue

import (
	"sort"
	"time"
)

// Upstream is one life of a target server. A restarted server is another
// Upstream, even at the same address and under the same ID of its own.
type Upstream struct {
	// ID names the life; see LifeID.
	ID         string
	Service    string
	Addr       string
	DataCentre string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
	// Unlisted is set while an upstream is remembered though its entry went.
	Unlisted bool
	// SlowUntil is when its cold start is over.
	SlowUntil time.Time
}

// Snapshot is an immutable set of upstreams.
type Snapshot struct {
	ByID      map[string]*Upstream
	byService map[string][]*Upstream
}

// NewSnapshot indexes the upstreams by service, ordered by ID.
func NewSnapshot(all map[string]*Upstream) *Snapshot {
	s := &Snapshot{ByID: make(map[string]*Upstream, len(all)), byService: map[string][]*Upstream{}}
	for id, u := range all {
		s.ByID[id] = u
		s.byService[u.Service] = append(s.byService[u.Service], u)
	}
	for _, us := range s.byService {
		sort.Slice(us, func(i, j int) bool { return us[i].ID < us[j].ID })
	}
	return s
}

// Of returns the service's upstreams, leaving ones included.
func (s *Snapshot) Of(service string) []*Upstream { return s.byService[service] }
