package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// reported are the bounds of a limit that an upstream reports.
var reportedBounds = Bounds{Factor: 1.5, Slack: 5, Window: 4 * time.Second}

var errUnreachable = errors.New("planner unreachable")

// fleetSim is a fleet of hosts whose callers ask for one upstream with a limit.
type fleetSim struct {
	rnd      *rand.Rand
	limit    float64
	limiters []*Limiter
	planner  *Allocator
	// cutOff reports whether a host does not reach the planner.
	cutOff func(host int) bool
	sent   []time.Time
}

func newFleetSim(hosts int, limit float64, seed uint64) *fleetSim {
	s := &fleetSim{rnd: rand.New(rand.NewPCG(seed, 0)), limit: limit, planner: NewAllocator(), cutOff: func(int) bool { return false }}
	for i := range hosts {
		s.limiters = append(s.limiters, s.newLimiter(i))
	}
	return s
}

func (s *fleetSim) newLimiter(host int) *Limiter {
	l := NewLimiter(reportedBounds, func(_ context.Context, upstream string, perSecond float64, want int) (Permit, error) {
		if s.cutOff(host) {
			return Permit{}, errUnreachable
		}
		return s.planner.Take(upstream, perSecond, want, time.Now()), nil
	})
	return l
}

// run has callers ask demand times a second, on hosts at random, for a time.
func (s *fleetSim) run(t *testing.T, demand float64, d time.Duration) {
	for _, l := range s.limiters {
		l.SetHostCount(len(s.limiters))
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(s.rnd.ExpFloat64() / demand * float64(time.Second)))
		if ok, _ := s.limiters[s.rnd.IntN(len(s.limiters))].Take(t.Context(), "u", s.limit); ok {
			s.sent = append(s.sent, time.Now())
		}
	}
}

// check reports windows with more requests than the bound.
func (s *fleetSim) check(t *testing.T) {
	t.Helper()
	most := int(s.limit*reportedBounds.Window.Seconds()*reportedBounds.Factor + reportedBounds.Slack)
	first := 0
	for i, at := range s.sent {
		for at.Sub(s.sent[first]) >= reportedBounds.Window {
			first++
		}
		if n := i - first + 1; n > most {
			t.Fatalf("%d requests within %v, %d allowed", n, reportedBounds.Window, most)
		}
	}
}

// eachFleet runs a simulation for fleets and limits of several sizes.
func eachFleet(t *testing.T, run func(t *testing.T, s *fleetSim)) {
	for _, hosts := range []int{1, 10, 79, 300} {
		for _, limit := range []float64{0.1, 1, 1.6, 8, 60} {
			t.Run(fmt.Sprint(hosts, " hosts, limit ", limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { run(t, newFleetSim(hosts, limit, 1)) })
			})
		}
	}
}

// Hosts that reach the planner must keep to the limit together, also when callers
// come in bursts after a pause, and must make use of it.
func TestFleetKeepsToAndUsesTheLimit(t *testing.T) {
	eachFleet(t, func(t *testing.T, s *fleetSim) {
		const d = 60 * time.Second
		s.run(t, 7*s.limit, d)
		if n, aim := float64(len(s.sent)), 0.8*s.limit*d.Seconds(); n < aim {
			t.Errorf("%v requests sent while callers asked for seven times the limit; aim %v", n, aim)
		}
		for range 5 {
			time.Sleep(20 * time.Second)
			s.run(t, 50*s.limit, 5*time.Second)
		}
		s.check(t)
	})
}

// While the planner changes, is lost, or is reached by some of the hosts only, and
// while hosts start again, the shares must still add up to no more than the limit.
func TestFleetKeepsToTheLimitWithoutAPlanner(t *testing.T) {
	eachFleet(t, func(t *testing.T, s *fleetSim) {
		demand := 7 * s.limit
		s.run(t, demand, 10*time.Second)
		s.cutOff = func(host int) bool { return host%2 == 0 }
		s.run(t, demand, 20*time.Second)
		s.cutOff = func(int) bool { return true }
		s.run(t, demand, 20*time.Second)
		s.cutOff = func(int) bool { return false }
		for range 3 {
			s.planner = NewAllocator()
			s.run(t, demand, 10*time.Second)
		}
		s.cutOff = func(int) bool { return true }
		for i := range len(s.limiters) / 2 {
			s.limiters[i] = s.newLimiter(i)
		}
		s.run(t, demand, 20*time.Second)
		s.check(t)
	})
}

// Without an answer of the planner's and a known number of hosts nothing is sent,
// and the caller is told when to come back.
func TestHostWithoutPlannerOrHostCountSendsNothing(t *testing.T) {
	l := NewLimiter(reportedBounds, func(context.Context, string, float64, int) (Permit, error) { return Permit{}, errUnreachable })
	for range 10 {
		if ok, wait := l.Take(t.Context(), "u", 5); ok || wait <= 0 {
			t.Fatalf("sent: %v, wait %v", ok, wait)
		}
	}
}

// Buckets of upstreams that nobody asks for any more are dropped.
func TestAllocatorPrunesIdleBuckets(t *testing.T) {
	a, now := NewAllocator(), time.Unix(1000, 0)
	for i := range 100 {
		a.Take(fmt.Sprint(i), 1, 1, now)
	}
	a.Take("new", 1, 1, now.Add(2*bucketIdleTimeout))
	if len(a.buckets) != 1 {
		t.Errorf("%d buckets kept, want 1", len(a.buckets))
	}
}
