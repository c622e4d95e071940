package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// upstream returns the upstream with the ID. It panics if there is none.
func (s *simulation) upstream(id string) *simUpstream {
	for _, u := range s.upstreams {
		if u.id == id {
			return u
		}
	}
	panic("no upstream " + id)
}

// grant executes a grant at its upstream. It returns ErrFenced if the upstream
// has seen a higher token. The TTL counts from the arrival, by a clock that runs
// 2% slow.
func (s *simulation) grant(g *Grant, arrived bootclock.Time) error {
	u := s.upstream(g.Addr)
	if !u.up {
		return ownership.ErrNoResponse
	}
	r := g.Range
	for _, seen := range u.tokensSeen {
		if seen.from <= r.To && r.From <= seen.to && seen.fencingToken > r.FencingToken {
			return ownership.ErrFenced
		}
	}
	expiresAt := arrived.Add(time.Duration(float64(g.TTL) * 1.02 * s.overstayFactor))
	u.tokensSeen = removeKeys(u.tokensSeen, r.From, r.To)
	u.tokensSeen = append(u.tokensSeen, simGrant{r.From, r.To, r.FencingToken, 0})
	u.grants = removeKeys(u.grants, r.From, r.To)
	u.grants = append(u.grants, simGrant{r.From, r.To, r.FencingToken, expiresAt})
	s.granted = true
	s.checkToken(simAccepted{r.From, r.To, u.id}, r.FencingToken)
	return nil
}

// simAccepted is a grant of a token that an upstream has accepted.
type simAccepted struct {
	from, to int
	owner    string
}

// checkToken records an accepted grant, and an error if another upstream has accepted a grant of
// one of its keys under the same token.
func (s *simulation) checkToken(g simAccepted, token int64) {
	if slices.Contains(s.accepted[token], g) {
		return
	}
	for _, other := range s.accepted[token] {
		if other.owner != g.owner && other.from <= g.to && g.from <= other.to {
			s.tokenErr = fmt.Errorf("token %d: keys %d to %d granted to %s, keys %d to %d to %s", token, g.from, g.to, g.owner, other.from, other.to, other.owner)
		}
	}
	s.accepted[token] = append(s.accepted[token], g)
}

// release executes a release at its upstream.
func (s *simulation) release(r *Release) error {
	u := s.upstream(r.Addr)
	if !u.up {
		return ownership.ErrNoResponse
	}
	u.grants = removeKeys(u.grants, r.Range.From, r.Range.To)
	return nil
}

// removeKeys removes the keys from..to from the grants.
func removeKeys(grants []simGrant, from, to int) []simGrant {
	var out []simGrant
	for _, g := range grants {
		if g.to < from || g.from > to {
			out = append(out, g)
			continue
		}
		if g.from < from {
			left := g
			left.to = from - 1
			out = append(out, left)
		}
		if g.to > to {
			right := g
			right.from = to + 1
			out = append(out, right)
		}
	}
	return out
}

// checkExclusive returns an error if two running upstreams own the same key.
func (s *simulation) checkExclusive() error {
	type ownedGrant struct {
		simGrant
		owner string
	}
	var all []ownedGrant
	for _, u := range s.upstreams {
		if !u.up {
			continue
		}
		u.grants = slices.DeleteFunc(u.grants, func(g simGrant) bool { return g.expiresAt <= s.now })
		for _, g := range u.grants {
			all = append(all, ownedGrant{g, u.id})
		}
	}
	slices.SortFunc(all, func(a, b ownedGrant) int { return a.from - b.from })
	for i := 1; i < len(all); i++ {
		a, b := all[i-1], all[i]
		if b.from <= a.to && a.owner != b.owner {
			return fmt.Errorf("after %v: keys %d to %d are owned by both %s (token %d, %v left) and %s (token %d, %v left)",
				s.now.Sub(bootclock.Time(time.Hour)), b.from, min(a.to, b.to), a.owner, a.fencingToken, a.expiresAt.Sub(s.now), b.owner, b.fencingToken, b.expiresAt.Sub(s.now))
		}
	}
	return nil
}
