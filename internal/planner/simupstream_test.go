package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

func (s *sim) upstream(id string) *simUpstream {
	for _, u := range s.ups {
		if u.id == id {
			return u
		}
	}
	panic("no upstream " + id)
}

// grant is the upstream's side of a grant: refused if a higher token was
// seen; held from the arrival on, by a clock that runs 2% slow.
func (s *sim) grant(g *Grant, arrived bootclock.Time) error {
	u := s.upstream(g.Addr)
	if !u.up {
		return ownership.ErrNoAnswer
	}
	r := g.Range
	for _, h := range u.seen {
		if h.from <= r.To && r.From <= h.to && h.fence > r.Fence {
			return ownership.ErrFenced
		}
	}
	until := arrived.Add(time.Duration(float64(g.Hold) * 1.02 * s.overstay))
	u.seen = cutOut(u.seen, r.From, r.To)
	u.seen = append(u.seen, hold{r.From, r.To, r.Fence, 0})
	u.holds = cutOut(u.holds, r.From, r.To)
	u.holds = append(u.holds, hold{r.From, r.To, r.Fence, until})
	s.granted = true
	return nil
}

func (s *sim) release(r *Release) error {
	u := s.upstream(r.Addr)
	if !u.up {
		return ownership.ErrNoAnswer
	}
	u.holds = cutOut(u.holds, r.Range.From, r.Range.To)
	return nil
}

func cutOut(hs []hold, from, to int) []hold {
	var out []hold
	for _, h := range hs {
		if h.to < from || h.from > to {
			out = append(out, h)
			continue
		}
		if h.from < from {
			left := h
			left.to = from - 1
			out = append(out, left)
		}
		if h.to > to {
			right := h
			right.from = to + 1
			out = append(out, right)
		}
	}
	return out
}

// check is the oracle: no key is held by two upstreams that are up.
func (s *sim) check() error {
	type held struct {
		hold
		by string
	}
	var all []held
	for _, u := range s.ups {
		if !u.up {
			continue
		}
		u.holds = slices.DeleteFunc(u.holds, func(h hold) bool { return h.until <= s.now })
		for _, h := range u.holds {
			all = append(all, held{h, u.id})
		}
	}
	slices.SortFunc(all, func(a, b held) int { return a.from - b.from })
	for i := 1; i < len(all); i++ {
		a, b := all[i-1], all[i]
		if b.from <= a.to && a.by != b.by {
			return fmt.Errorf("after %v: keys %d to %d are held by %s (token %d, %v left) and %s (token %d, %v left)",
				s.now.Sub(bootclock.Time(time.Hour)), b.from, min(a.to, b.to), a.by, a.fence, a.until.Sub(s.now), b.by, b.fence, b.until.Sub(s.now))
		}
	}
	return nil
}
