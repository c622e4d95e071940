package planner

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

const (
	// pathDetectionDelay is how long a host takes to find that it is cut off, or no longer.
	pathDetectionDelay = 600 * time.Millisecond
	// relayDelayedRate is the fraction of relayed calls that reach the helper up to 4 s late.
	relayDelayedRate = 0.05
)

// injectCutOffs lets hosts lose their paths to all upstreams at random, at times most of them at once.
func (s *simulation) injectCutOffs() {
	if !s.faultOccurs(s.faults.cutOff, simStep) {
		return
	}
	d := s.randomDuration(time.Second, 12*time.Second)
	for _, h := range s.hosts {
		if s.rng.IntN(2) == 0 {
			s.cutOff(h, d)
		}
	}
}

// cutOff lets a host lose its paths to all upstreams for d.
func (s *simulation) cutOff(h *simHost, d time.Duration) {
	if !s.now.Before(h.cutOffUntil) {
		h.cutOffFrom = s.now
	}
	h.cutOffUntil = max(h.cutOffUntil, s.now.Add(d))
}

// knowsCutOff reports whether the host takes itself for cut off.
func (h *simHost) knowsCutOff(now bootclock.Time) bool {
	return h.cutOffUntil != 0 && !now.Before(h.cutOffFrom.Add(pathDetectionDelay)) && now.Before(h.cutOffUntil.Add(pathDetectionDelay))
}

// helpers returns the hosts that h can have grants sent by.
func (s *simulation) helpers(h *simHost) []*simHost {
	var out []*simHost
	for _, other := range s.hosts {
		if other != h && !other.knowsCutOff(s.now) {
			out = append(out, other)
		}
	}
	return out
}

// relay has a helper make a call to an upstream, unless sendBy has passed when it gets to it.
func (s *simulation) relay(h *simHost, id string, sendBy bootclock.Time, do func(arrived bootclock.Time) error, work time.Duration, done func(error)) {
	helpers := s.helpers(h)
	if len(helpers) == 0 {
		done(ownership.ErrNotSent)
		return
	}
	helper := helpers[s.rng.IntN(len(helpers))]
	delay := s.randomDuration(time.Millisecond, 40*time.Millisecond)
	if s.rng.Float64() < relayDelayedRate {
		delay = s.randomDuration(0, 4*time.Second)
	}
	finished := false
	finish := func(err error) {
		if !finished {
			finished = true
			done(err)
		}
	}
	s.after(callTimeout+work, func() { finish(errors.Join(ownership.ErrNoResponse, ownership.ErrSenderLost)) })
	s.after(delay, func() {
		s.after(max(helper.stalledUntil.Sub(s.now), 0), func() {
			if sendBy.Before(s.now) && !s.relayLate {
				finish(ownership.ErrNotSent)
				return
			}
			starts := helper.starts
			s.callUpstream(helper, id, do, work, false, func(err error) {
				if helper.starts == starts {
					finish(err)
				}
			})
		})
	})
}

// Guards against two owners when hosts lose their paths to all upstreams and the planner's grants and
// releases go through other hosts, which stall and are cut off as well, and against helpers that send
// grants at any time.
func TestNoKeyHasTwoOwnersWhileHostsAreCutOff(t *testing.T) {
	alone := faults{cutOff: 0.2, responseLost: 0.02, stall: 0.05, crash: 0.03, leave: 0.05, leaseChange: 0.1}
	mixed := allFaults
	mixed.cutOff = 0.1
	seeds := uint64(40)
	if testing.Short() {
		seeds = 10
	}
	for name, f := range map[string]faults{"alone": alone, "with all faults": mixed} {
		for seed := range seeds {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				if err := newSimulation(seed, f, testOptions).run(40 * time.Second); err != nil {
					t.Error(err)
				}
			})
		}
	}
	t.Run("detects helpers that send late", func(t *testing.T) {
		for seed := range uint64(60) {
			s := newSimulation(seed, alone, testOptions)
			s.relayLate = true
			if s.run(40*time.Second) != nil {
				return
			}
		}
		t.Error("none of 60 seeds showed two owners although helpers send grants at any time")
	})
}

// Guards against keys without an owner, or with another one, when the planner alone loses its paths to
// all upstreams, and against moves when all hosts have lost theirs.
func TestKeysKeepTheirOwnersWhilePlannerIsCutOff(t *testing.T) {
	for _, all := range []bool{false, true} {
		for seed := range uint64(6) {
			s := newSimulation(seed, faults{}, testOptions)
			if err := s.run(10 * time.Second); err != nil {
				t.Fatal(err)
			}
			s.steadyLoad = true
			clear(s.loadByKey) // without load no keys are moved
			if err := s.run(3 * time.Second); err != nil {
				t.Fatal(err)
			}
			owners := s.owners()
			for _, h := range s.hosts {
				if all || h == s.currentPlanner() {
					s.cutOff(h, 12*time.Second)
				}
			}
			for range 100 {
				if err := s.run(200 * time.Millisecond); err != nil {
					t.Fatal(err)
				}
				if covered := s.grantedKeys(); covered != ownership.KeySpaceSize && !all {
					t.Fatalf("seed %d: %d of %d keys have an owner", seed, covered, ownership.KeySpaceSize)
				}
			}
			if covered := s.grantedKeys(); covered != ownership.KeySpaceSize {
				t.Errorf("seed %d, all cut off %v: %d of %d keys have an owner afterwards", seed, all, covered, ownership.KeySpaceSize)
			}
			moved := 0
			for key, owner := range s.owners() {
				if owner != owners[key] {
					moved++
				}
			}
			if moved > 0 {
				t.Errorf("seed %d, all cut off %v: %d keys have another owner afterwards", seed, all, moved)
			}
		}
	}
}

// owners returns the owner of each key by the newest record.
func (s *simulation) owners() []string {
	out := make([]string, ownership.KeySpaceSize)
	for _, r := range s.log[len(s.log)-1].Ranges {
		for key := r.From; key <= r.To; key++ {
			out[key] = r.Owner
		}
	}
	return out
}
