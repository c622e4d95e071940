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

// reportedBounds are the bounds for a rate limit that an upstream reports.
var reportedBounds = Bounds{Factor: 1.5, Slack: 5, Window: 4 * time.Second}

var errUnreachable = errors.New("planner unreachable")

// fleetSim simulates the hosts of a fleet, which send to one upstream with a rate
// limit.
type fleetSim struct {
	rng      *rand.Rand
	limit    float64
	limiters []*Limiter
	planner  *Allocator
	// partitioned reports whether a host can't reach the planner.
	partitioned func(host int) bool
	sent        []time.Time
}

func newFleetSim(hosts int, limit float64, seed uint64) *fleetSim {
	s := &fleetSim{rng: rand.New(rand.NewPCG(seed, 0)), limit: limit, planner: NewAllocator(), partitioned: func(int) bool { return false }}
	for i := range hosts {
		s.limiters = append(s.limiters, s.newLimiter(i))
	}
	return s
}

func (s *fleetSim) newLimiter(host int) *Limiter {
	l := NewLimiter(reportedBounds, func(_ context.Context, limitID string, perSecond float64, want int) (PermitReply, error) {
		if s.partitioned(host) {
			return PermitReply{}, errUnreachable
		}
		return s.planner.Take(limitID, perSecond, want, time.Now()), nil
	})
	return l
}

// run simulates demand requests a second, at random hosts, for d.
func (s *fleetSim) run(t *testing.T, demand float64, d time.Duration) {
	for _, l := range s.limiters {
		l.SetHostCount(len(s.limiters))
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(s.rng.ExpFloat64() / demand * float64(time.Second)))
		if ok, _ := s.limiters[s.rng.IntN(len(s.limiters))].Take(t.Context(), "u", s.limit); ok {
			s.sent = append(s.sent, time.Now())
		}
	}
}

// check fails the test if any window has more requests than the bounds allow.
func (s *fleetSim) check(t *testing.T) {
	t.Helper()
	maxRequests := int(s.limit*reportedBounds.Window.Seconds()*reportedBounds.Factor + reportedBounds.Slack)
	first := 0
	for i, at := range s.sent {
		for at.Sub(s.sent[first]) >= reportedBounds.Window {
			first++
		}
		if n := i - first + 1; n > maxRequests {
			t.Fatalf("%d requests within %v, %d allowed", n, reportedBounds.Window, maxRequests)
		}
	}
}

// forEachFleet runs a simulation for several numbers of hosts and limits.
func forEachFleet(t *testing.T, run func(t *testing.T, s *fleetSim)) {
	for _, hosts := range []int{1, 10, 79, 300} {
		for _, limit := range []float64{0.1, 1, 1.6, 8, 60} {
			t.Run(fmt.Sprint(hosts, " hosts, limit ", limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { run(t, newFleetSim(hosts, limit, 1)) })
			})
		}
	}
}

// Hosts that reach the planner must keep to the limit together, also when requests
// come in bursts after an idle period, and must use at least 80% of it.
func TestFleetKeepsToAndUsesTheLimit(t *testing.T) {
	forEachFleet(t, func(t *testing.T, s *fleetSim) {
		const d = 60 * time.Second
		s.run(t, 7*s.limit, d)
		if n, want := float64(len(s.sent)), 0.8*s.limit*d.Seconds(); n < want {
			t.Errorf("%v requests sent at a demand of seven times the limit, want at least %v", n, want)
		}
		for range 5 {
			time.Sleep(20 * time.Second)
			s.run(t, 50*s.limit, 5*time.Second)
		}
		s.check(t)
	})
}

// The hosts must keep to the limit while the planner changes, is lost or is reached
// by only some of them, and while hosts restart. They would exceed it if fallback
// shares and permits added up to more than the limit, if a new planner began with
// full buckets, or if restarted hosts sent their first requests at once.
func TestFleetKeepsToTheLimitWithoutAPlanner(t *testing.T) {
	forEachFleet(t, func(t *testing.T, s *fleetSim) {
		demand := 7 * s.limit
		s.run(t, demand, 10*time.Second)
		s.partitioned = func(host int) bool { return host%2 == 0 }
		s.run(t, demand, 20*time.Second)
		s.partitioned = func(int) bool { return true }
		s.run(t, demand, 20*time.Second)
		s.partitioned = func(int) bool { return false }
		for range 3 {
			s.planner = NewAllocator()
			s.run(t, demand, 10*time.Second)
		}
		s.partitioned = func(int) bool { return true }
		for i := range len(s.limiters) / 2 {
			s.limiters[i] = s.newLimiter(i)
		}
		s.run(t, demand, 20*time.Second)
		s.check(t)
	})
}

// A host that can't reach the planner and doesn't know the number of hosts has no
// share: it must send nothing, and return when to retry.
func TestHostWithoutPlannerOrHostCountSendsNothing(t *testing.T) {
	l := NewLimiter(reportedBounds, func(context.Context, string, float64, int) (PermitReply, error) { return PermitReply{}, errUnreachable })
	for range 10 {
		if ok, wait := l.Take(t.Context(), "u", 5); ok || wait <= 0 {
			t.Fatalf("allowed: %v, wait %v; want a denial with a wait", ok, wait)
		}
	}
}

// Buckets of upstreams that hosts no longer send to must be deleted, or the
// allocator would grow with every upstream that ever had a limit.
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
