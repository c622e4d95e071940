package retryafter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

// The simulated class: payments of deployment G in docs/design/hard-load.md.
const (
	simWork, simTimeout = 160 * time.Millisecond, 1200 * time.Millisecond
	simQueue            = 100 * time.Millisecond
	simHosts            = 10
	simCapacity         = 400.0
)

var (
	simClass = desired.Class{Service: "pay", Priority: 1, Objective: 600 * time.Millisecond}
	simStart = time.Unix(1000, 0)
)

// arrival is a request that reaches a host; first is when its caller first sent it.
type arrival struct {
	at, first time.Time
	returns   int
}

// outcomes counts callers: served at once, after a refusal in time or late, or never. refusedAgain
// counts the refusals after a caller's first, and waited is how long the callers that were served
// after a refusal waited in all.
type outcomes struct {
	atOnce, inTime, late, never, refusedAgain int
	waited                                    time.Duration
}

func (o *outcomes) String() string {
	returned := o.inTime + o.late
	return fmt.Sprintf("%d at once, %d in time after a refusal, %d late, %d never; %d refused again; served after %v",
		o.atOnce, o.inTime, o.late, o.never, o.refusedAgain, (o.waited / time.Duration(returned)).Round(time.Millisecond))
}

// simulate sends 30 s of demand at hosts that each start an equal share of the capacity and
// refuse what would queue longer than simQueue or end after the caller's timeout. Callers return up
// to maxReturns times, to any host, after at most a third of the time they have left.
func simulate(demand func(time.Duration) float64, maxReturns int, wait func(s *Schedule, queueing, left time.Duration, now time.Time) time.Duration) (o outcomes) {
	demanded, routed := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 3)) // the demand is the same in all runs
	var hosts [simHosts]*Schedule
	var freeAt [simHosts]time.Time
	for i := range hosts {
		hosts[i] = New()
	}
	var returning []arrival // in order
	end := simStart.Add(30 * time.Second)
	for at := simStart; at.Before(end) || len(returning) > 0; {
		a := arrival{at: at, first: at}
		if len(returning) > 0 && (returning[0].at.Before(at) || !at.Before(end)) {
			a, returning = returning[0], returning[1:]
		} else {
			at = at.Add(time.Duration(demanded.ExpFloat64() / demand(at.Sub(simStart)) * float64(time.Second)))
		}
		h, left := routed.IntN(simHosts), simTimeout-a.at.Sub(a.first)
		freeAt[h] = later(freeAt[h], a.at)
		if queueing := freeAt[h].Sub(a.at); queueing <= min(simQueue, left-simWork) {
			hosts[h].Admitted(simClass, a.at)
			freeAt[h] = freeAt[h].Add(time.Duration(float64(time.Second) * simHosts / simCapacity))
			if a.returns == 0 {
				o.atOnce++
				continue
			}
			o.waited += simTimeout - left + queueing
			if simTimeout-left+queueing+simWork <= simClass.Objective {
				o.inTime++
			} else {
				o.late++
			}
			continue
		}
		if a.returns > 0 {
			o.refusedAgain++
		}
		if a.returns++; a.returns > maxReturns || left <= simWork {
			o.never++
			continue
		}
		a.at = a.at.Add(min(wait(hosts[h], max(freeAt[h].Sub(a.at)-simQueue, 0), left, a.at), left/3))
		i, _ := slices.BinarySearchFunc(returning, a, func(x, y arrival) int { return x.at.Compare(y.at) })
		returning = slices.Insert(returning, i, a)
	}
	return o
}

// Guards against callers that return while the demand that refused them lasts and are refused again,
// against a schedule that loses anything in lasting overload, where nothing can be gained if each
// returns once, and against one that is filled by callers that return until their timeout.
func TestReturnsAfterOverload(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	quarter := func(*Schedule, time.Duration, time.Duration, time.Time) time.Duration {
		return time.Duration((0.75 + 0.5*rng.Float64()) * float64(simClass.Objective) / 4)
	}
	scheduled := func(s *Schedule, queueing, left time.Duration, now time.Time) time.Duration {
		latest := min(left/3, left-simWork)
		d := s.Promise(simClass, min(queueing, latest), latest, now)
		if d > latest {
			t.Errorf("promised %v, the caller returns after %v and leaves its place in the schedule", d, latest)
		}
		return d
	}
	bursts := func(t time.Duration) float64 {
		if t%(3*time.Second) < 600*time.Millisecond {
			return 2.5 * simCapacity
		}
		return 0.6 * simCapacity
	}
	lasting := func(time.Duration) float64 { return 1.3 * simCapacity }
	for _, c := range []struct {
		name       string
		demand     func(time.Duration) float64
		maxReturns int
		maxRefused float64
	}{{"bursts", bursts, 1, 0.85}, {"lasting", lasting, 1, 1.02}, {"bursts, many returns", bursts, 100, 0.6}, {"lasting, many returns", lasting, 100, 0.75}} {
		before, after := simulate(c.demand, c.maxReturns, quarter), simulate(c.demand, c.maxReturns, scheduled)
		t.Logf("%s: quarter of the objective: %v; schedule: %v", c.name, &before, &after)
		if float64(after.refusedAgain) > c.maxRefused*float64(before.refusedAgain) {
			t.Errorf("%s: %d refused again, %d with a quarter of the objective", c.name, after.refusedAgain, before.refusedAgain)
		}
		if served := before.atOnce + before.inTime + before.late; after.atOnce+after.inTime+after.late < served*98/100 {
			t.Errorf("%s: %v served fewer than %v", c.name, &after, &before)
		}
	}
}

// A place that is given to two callers, a promise out of its bounds or one for the moment of
// another brings returns together that are then refused again.
func TestPromises(t *testing.T) {
	s, now := New(), simStart
	for range 200 { // 50 per second
		now = now.Add(20 * time.Millisecond)
		s.Admitted(simClass, now)
	}
	var waits []time.Duration
	for range 30 {
		waits = append(waits, s.Promise(simClass, 100*time.Millisecond, 400*time.Millisecond, now))
	}
	if waits[0] != 100*time.Millisecond || slices.Max(waits) != 400*time.Millisecond {
		t.Errorf("promised %v", waits)
	}
	slices.Sort(waits)
	for i, wait := range waits[1:] {
		if wait-waits[i] < resolution {
			t.Errorf("promises %v and %v", waits[i], wait)
		}
	}
	// 300 ms have room for 16 returns that are 20 ms apart.
	if c := s.Counts(); c.Promised != 30 || c.WithoutPlace < 13 || c.WithoutPlace > 15 || s.Outstanding(simClass, now) != 30 {
		t.Errorf("%+v, %d outstanding", c, s.Outstanding(simClass, now))
	}
	if !s.Full(simClass, 400*time.Millisecond, now) || s.Full(simClass, time.Second, now) {
		t.Error("30 promises at 50 requests per second must fill 0.4 s but not 1 s")
	}
	// Half of the promised places are used, and the others expire.
	for range 15 {
		now = now.Add(40 * time.Millisecond)
		s.Admitted(simClass, now)
	}
	if c := s.Counts(); c.Kept < 8 || c.Kept > 15 || s.Outstanding(simClass, now) != 0 {
		t.Errorf("%+v, %d outstanding", c, s.Outstanding(simClass, now))
	}
	// A class of which nothing was admitted has no places.
	if wait := s.Promise(desired.Class{Service: "other"}, 0, time.Second, now); wait != time.Second {
		t.Errorf("waits %v", wait)
	}
}
