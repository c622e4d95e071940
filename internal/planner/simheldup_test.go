package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// maxRetransmissionDelay is how long after the end of a partition a call that it held up arrives at most.
const maxRetransmissionDelay = 1500 * time.Millisecond

// injectKillsBehindCuts cuts upstreams off from all hosts at random, and restarts the planner's host, or
// the others, while grants to them are in flight.
func (s *simulation) injectKillsBehindCuts() {
	if !s.faultOccurs(s.faults.killBehindCut, simStep) {
		return
	}
	d := s.randomDuration(time.Second, 14*time.Second)
	for _, u := range s.upstreams {
		if s.rng.IntN(3) > 0 {
			continue
		}
		for _, h := range s.hosts {
			h.unreachableUntil[u.id] = max(h.unreachableUntil[u.id], s.now.Add(d))
		}
	}
	killHelpers := s.rng.IntN(2) == 0
	for _, h := range s.hosts {
		if (h.name == s.leaseHolder) != killHelpers {
			s.after(s.randomDuration(0, 3*callTimeout), func() { s.restartHost(h) })
		}
	}
}

// reachableAt returns when the host reaches the upstream, as far as partitions are known now.
func (s *simulation) reachableAt(h *simHost, id string) bootclock.Time {
	return max(h.unreachableUntil[id], h.cutOffUntil)
}

// holdsUp reports whether a call that the host sends now is held up by a partition: it is sent over
// a connection that was opened before.
func (s *simulation) holdsUp(h *simHost, id string) bool {
	at, connected := h.lastExchangeAt[id]
	return s.idleTimeout > 0 && connected && s.now.Before(s.reachableAt(h, id)) && s.now.Before(s.closesIdleAt(at))
}

// closesIdleAt returns when an upstream, whose clock runs 2% slow, closes a connection over which it
// last received a call at the given time.
func (s *simulation) closesIdleAt(last bootclock.Time) bootclock.Time {
	return last.Add(time.Duration(float64(s.idleTimeout) * 1.02))
}

// holdUp delivers a call after the partition, unless the host's process has closed the connection
// before, which it does when the call times out, or the upstream has.
func (s *simulation) holdUp(h *simHost, id string, do func(arrived bootclock.Time) error, done func(error)) {
	starts, incarnation, closesAt := h.starts, s.upstream(id).incarnation, s.closesIdleAt(h.lastExchangeAt[id])
	closed := false
	s.after(callTimeout, func() {
		s.after(max(h.stalledUntil.Sub(s.now), 0), func() {
			if h.starts == starts {
				closed = true
			}
			done(ownership.ErrNoResponse)
		})
	})
	var arrive func()
	arrive = func() {
		switch {
		case closed || !s.now.Before(closesAt) || s.upstream(id).incarnation != incarnation:
		case s.now.Before(s.reachableAt(h, id)):
			s.after(s.reachableAt(h, id).Sub(s.now)+s.randomDuration(0, maxRetransmissionDelay), arrive)
		default:
			_ = do(s.now)
		}
	}
	arrive()
}

// Guards against two owners when a planner's process is killed behind a partition, and its grants that
// the partition holds up arrive after the next planner has moved the keys.
func TestNoKeyHasTwoOwnersWhenPlannersAreKilledBehindPartitions(t *testing.T) {
	alone := faults{killBehindCut: 0.15}
	mixed := allFaults
	mixed.killBehindCut = 0.1
	seeds := uint64(40)
	if testing.Short() {
		seeds = 10
	}
	simulate := func(seed uint64, f faults, statedIdleTimeout time.Duration) error {
		s := newSimulation(seed, f, testOptions)
		s.idleTimeout, s.statedIdleTimeout = 10*time.Second, statedIdleTimeout
		return s.run(60 * time.Second)
	}
	for name, f := range map[string]faults{"alone": alone, "with all faults": mixed} {
		for seed := range seeds {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				if err := simulate(seed, f, 10*time.Second); err != nil {
					t.Error(err)
				}
			})
		}
	}
	t.Run("detects planners that do not wait for held-up grants", func(t *testing.T) {
		for seed := range seeds {
			if simulate(seed, alone, 0) != nil {
				return
			}
		}
		t.Errorf("none of %d seeds showed two owners although planners ignore held-up grants", seeds)
	})
}
