// Package catalogue describes the running upstreams: their addresses, data
// centres and concurrency, and which of them are leaving.
package catalogue

import (
	"sort"
	"time"
)

// Upstream is one incarnation of a target server. A restarted server is another
// Upstream, even if its address and its own ID stay the same.
type Upstream struct {
	// ID identifies the incarnation; see IncarnationID.
	ID         string
	Service    string
	Addr       string
	DataCentre string
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Leaving is set if its entry in the log states that it is draining, and
	// whenever Unlisted is set. The upstream then gets no new requests, not
	// even for keys that it owns.
	Leaving bool
	// Unlisted is set while the upstream is kept although its entry in the log
	// has been removed.
	Unlisted bool
	// Sequence counts the incarnation's writes of its entry.
	Sequence int64
	// SlowUntil is the end of its slow start.
	SlowUntil time.Time
	// HandoverBy is set while operators evacuate its data centre, and after it has
	// reported in its responses that it is leaving. Before HandoverBy it gets only
	// requests for keys that it still owns, after that none.
	HandoverBy time.Time
	// ReportedLeaving is set after it has reported in its responses that it is
	// leaving; Leaving may not be set yet.
	ReportedLeaving bool
}

// HandingOver reports whether its keys must move to other owners by HandoverBy.
func (u *Upstream) HandingOver() bool { return !u.HandoverBy.IsZero() }

// Draining reports whether its keys must move to other owners. It gets at most
// requests for keys that it still owns.
func (u *Upstream) Draining() bool { return u.Leaving || u.HandingOver() }

// Cold reports whether it is in its slow start.
func (u *Upstream) Cold(now time.Time) bool { return now.Before(u.SlowUntil) }

// Snapshot is an immutable set of upstreams.
type Snapshot struct {
	ByID      map[string]*Upstream
	byService map[string][]*Upstream
}

// NewSnapshot returns a snapshot of the upstreams, given by ID.
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

// ForService returns the service's upstreams sorted by ID, including those that
// are leaving.
func (s *Snapshot) ForService(service string) []*Upstream { return s.byService[service] }
