// Package balance chooses among upstreams that can all serve a request, from
// what this host has seen of them: their answers and what is under way.
package balance

import (
	"sync"
	"time"

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
	// startLatency is assumed of an upstream that has not answered yet.
	startLatency = 150 * time.Millisecond
	// smoothing is the weight of a new latency in the mean.
	smoothing = 0.2
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

type stats struct {
	inFlight int
	latency  time.Duration
	failures int
	outUntil time.Time
	fullTill time.Time
}

// Board keeps what this host has seen of each upstream.
type Board struct {
	mu sync.Mutex
	by map[string]*stats
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{by: map[string]*stats{}} }

func (b *Board) of(id string) *stats {
	s := b.by[id]
	if s == nil {
		s = &stats{latency: startLatency}
		b.by[id] = s
	}
	return s
}

// Start counts a send to the upstream.
func (b *Board) Start(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(id).inFlight++
}

// Done counts its end.
func (b *Board) Done(id string, o Outcome, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(id)
	s.inFlight--
	switch o {
	case Served:
		s.failures = 0
		s.latency += time.Duration(smoothing * float64(took-s.latency))
	case Full:
		s.failures = 0
		s.fullTill = now.Add(fullPause)
	case Failed:
		s.failures++
		if s.failures >= ejectAfter {
			s.outUntil = now.Add(min(ejectFirst<<min(s.failures-ejectAfter, 4), ejectMost))
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
	for id, s := range b.by {
		if s.inFlight == 0 && !keep(id) {
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
		if u.Leaving || contains(c.Not, u.ID) {
			continue
		}
		s := b.of(u.ID)
		cost := s.cost(u, now)
		if u.DataCentre != c.Home {
			cost += c.FarPenalty
		}
		if now.Before(s.outUntil) || now.Before(s.fullTill) {
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

// cost is the time in which an answer is expected.
func (s *stats) cost(u *catalogue.Upstream, now time.Time) time.Duration {
	c := s.latency
	if now.Before(u.SlowUntil) {
		c *= coldFactor
	}
	return c + c*time.Duration(s.inFlight)/time.Duration(u.Slots)
}

func contains(ids []string, id string) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}
