package keyload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

// owners are named for their processing time per request.
var owners = []*catalogue.Upstream{{ID: "slow", Slots: 3}, {ID: "usual", Slots: 3}, {ID: "quick", Slots: 3}}

// addRequests adds requests for a key at a constant rate from start for d, in
// batches of 300 ms.
func addRequests(e *Estimator, key int, upstream string, latency time.Duration, perSecond float64, start time.Time, d time.Duration) {
	const interval = 300 * time.Millisecond
	carry := 0.0
	for at := time.Duration(0); at < d; at += interval {
		carry += perSecond * interval.Seconds()
		var s []Sample
		for ; carry >= 1; carry-- {
			s = append(s, Sample{Key: key, Upstream: upstream, Latency: latency})
		}
		e.Add("s", s, 1, start.Add(at))
	}
}

// A key that becomes hot must count as hot within a second, and must stop
// counting as hot within four seconds after its requests end.
func TestHotKeyIsDetectedWithinASecond(t *testing.T) {
	e := New()
	start := time.Unix(1000, 0)
	addRequests(e, 1, "usual", 100*time.Millisecond, 1, start, 20*time.Second)
	hot := start.Add(20 * time.Second)
	addRequests(e, 1, "usual", 100*time.Millisecond, 40, hot, time.Second)
	load, _ := e.Load("s", owners, hot.Add(time.Second))
	if r := load.ByKey[1]; r < 12 {
		t.Errorf("a key with 40 requests/s is estimated at %.1f/s after one second, want at least 12", r)
	}
	addRequests(e, 1, "usual", 100*time.Millisecond, 40, hot.Add(time.Second), 5*time.Second)
	load, _ = e.Load("s", owners, hot.Add(6*time.Second))
	if r := load.ByKey[1]; r < 32 || r > 48 {
		t.Errorf("a key with 40 requests/s is estimated at %.1f/s after six seconds, want 32 to 48", r)
	}
	load, _ = e.Load("s", owners, hot.Add(10*time.Second))
	if r := load.ByKey[1]; r > 10 {
		t.Errorf("a key is estimated at %.1f/s four seconds after its last request, want at most 10", r)
	}
}

// Capacity is estimated from response times, which include time in the upstream's
// queue. An owner that responds slowly only because it is overloaded must not
// count as slow.
func TestCapacityEstimateAllowsForQueueing(t *testing.T) {
	e := New()
	start := time.Unix(1000, 0)
	// The owner slow takes 400 ms for a request and quick 100 ms, both under low
	// load. The owner usual takes 200 ms, but at its capacity of 15 requests/s it
	// responds after 800 ms.
	addRequests(e, 1, "slow", 400*time.Millisecond, 3, start, 20*time.Second)
	addRequests(e, 2, "usual", 800*time.Millisecond, 15, start, 20*time.Second)
	addRequests(e, 3, "quick", 100*time.Millisecond, 3, start, 20*time.Second)
	load, _ := e.Load("s", owners, start.Add(20*time.Second))
	for id, want := range map[string]float64{"slow": 3 / 0.4, "usual": 3 / 0.2, "quick": 3 / 0.1} {
		if got := load.Capacity[id]; math.Abs(got-want) > 0.35*want {
			t.Errorf("%s has a capacity of %.1f/s, estimated at %.1f/s", id, want, got)
		}
	}
}

// Random variation alone must not make a key look hot.
func TestRandomVariationIsNotTakenForAChange(t *testing.T) {
	e := New()
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	worst := 0.0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		var s []Sample
		for range 10 {
			s = append(s, Sample{Key: rng.IntN(100), Upstream: "usual", Latency: 100 * time.Millisecond})
		}
		e.Add("s", s, 1, now)
		if i < 100 {
			continue
		}
		load, _ := e.Load("s", owners, now)
		for _, r := range load.ByKey {
			worst = max(worst, r)
		}
	}
	// Each key gets one request a second on average.
	if worst > 7 {
		t.Errorf("a key with 1 request/s was estimated at %.1f/s", worst)
	}
}
