// Package balance chooses among upstreams that can all serve a request, from
// what this host has seen of them: their answers and what is under way.
package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/catalogue"
)

// Outcome is how a send ended, as far as the choice is concerned.
type Outcome int

const (
	// Served means an answer came.
	Served Outcome = iota
	// Full means the upstream refused for want of room.
	Full
	// Failed means it could not be reached or broke off.
	Failed
	// Abandoned means the caller left; it says nothing of the upstream.
	Abandoned
)

const (
	// fullPause is how long an upstream counts as full after it refused:
	// about the time in which one of its slots comes free.
	fullPause = 100 * time.Millisecond
	// ejectAfter is how many failures in a row take an upstream out.
	ejectAfter = 2
	// ejectFirst and ejectMost bound how long it stays out.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 2 * time.Second
	// coldFactor is how much slower an upstream is while it warms up.
	coldFactor = 2
)

// record is what this host knows of one upstream. The limiter counts what is
// under way and smooths the latency; the rest is its health.
type record struct {
	limiter  *admission.Limiter
	failures int
	outUntil time.Time
	fullTill time.Time
}

// Board keeps one record of each upstream.
type Board struct {
	mu sync.Mutex
	by map[string]*record
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{by: map[string]*record{}} }

func (b *Board) of(id string) *record {
	r := b.by[id]
	if r == nil {
		r = &record{limiter: admission.NewLimiter()}
		b.by[id] = r
	}
	return r
}

// Limiter returns the upstream's limiter.
func (b *Board) Limiter(id string) *admission.Limiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(id).limiter
}

// Done takes in how a send to the upstream ended.
func (b *Board) Done(id string, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.of(id)
	switch o {
	case Served:
		r.failures = 0
	case Full:
		r.failures = 0
		r.fullTill = now.Add(fullPause)
	case Failed:
		r.failures++
		if r.failures >= ejectAfter {
			r.outUntil = now.Add(min(ejectFirst<<min(r.failures-ejectAfter, 4), ejectMost))
		}
	case Abandoned:
	}
}

// Out reports whether the upstream fails so often that it is left alone for
// now.
func (b *Board) Out(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.of(id).outUntil)
}

// Prune forgets upstreams that keep does not know.
func (b *Board) Prune(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.by {
		if !keep(id) && r.limiter.UnderWay() == 0 {
			delete(b.by, id)
		}
	}
}

// Choice is what a request asks of an upstream.
type Choice struct {
	// Home is this host's data centre. Bytes between data centres are
	// dear, so another one's upstream must be faster by FarPenalty.
	Home       string
	FarPenalty time.Duration
	// Not lists upstreams that were tried already.
	Not []string
}

// Pick returns the upstream from which an answer is expected first, or nil
// if there is none. Upstreams that fail are only used if all do.
func (b *Board) Pick(ups []*catalogue.Upstream, c Choice, now time.Time) *catalogue.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best, lastResort *catalogue.Upstream
	var bestCost, lastCost time.Duration
	for _, u := range ups {
		if u.Leaving || slices.Contains(c.Not, u.ID) {
			continue
		}
		r := b.of(u.ID)
		cost := r.cost(u, now)
		if u.DataCentre != c.Home {
			cost += c.FarPenalty
		}
		if now.Before(r.outUntil) || now.Before(r.fullTill) {
			if lastResort == nil || cost < lastCost {
				lastResort, lastCost = u, cost
			}
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil {
		return lastResort
	}
	return best
}

// cost is the time in which an answer is expected. Without the wait for a
// turn, an idle upstream whose limit was spent was chosen, and the request
// refused, while others had room.
func (r *record) cost(u *catalogue.Upstream, now time.Time) time.Duration {
	s := r.limiter.State()
	c := s.Latency
	if now.Before(u.SlowUntil) {
		c *= coldFactor
	}
	return s.Wait + c + c*time.Duration(s.UnderWay)/time.Duration(u.Slots)
}
