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
	// SlowUntil is when its slow start is over.
	SlowUntil time.Time
	// LeaveBy is set while operators have its data centre evacuated, and once it
	// has reported in its answers that it leaves: nothing may be sent to it from
	// then on, and until then only requests for keys that it still owns.
	LeaveBy time.Time
	// ReportedLeaving is set in the latter case.
	ReportedLeaving bool
}

// HandingOver reports whether it is to lose what it owns by LeaveBy.
func (u *Upstream) HandingOver() bool { return !u.LeaveBy.IsZero() }

// Draining reports whether it is to lose what it owns and gets nothing that
// another upstream could do.
func (u *Upstream) Draining() bool { return u.Leaving || u.HandingOver() }

// Cold reports whether it is in its slow start.
func (u *Upstream) Cold(now time.Time) bool { return now.Before(u.SlowUntil) }

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

// ForService returns the service's upstreams, leaving ones included.
func (s *Snapshot) ForService(service string) []*Upstream { return s.byService[service] }
