package keyload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

var owners = []*catalogue.Upstream{{ID: "slow", Slots: 3}, {ID: "usual", Slots: 3}, {ID: "quick", Slots: 3}}

// addRequests adds requests for a key at a rate for a time, in reports of 300 ms.
func addRequests(m *Estimator, key int, id string, latency time.Duration, perSecond float64, from time.Time, d time.Duration) {
	const report = 300 * time.Millisecond
	carry := 0.0
	for at := time.Duration(0); at < d; at += report {
		carry += perSecond * report.Seconds()
		var s []Sample
		for ; carry >= 1; carry-- {
			s = append(s, Sample{Key: key, Upstream: id, Latency: latency})
		}
		m.Add("s", s, 1, from.Add(at))
	}
}

// A key that becomes hot shows at its full rate within a second, and is
// forgotten as soon when it cools down.
func TestHotKeyIsDetectedWithinASecond(t *testing.T) {
	m := New()
	start := time.Unix(1000, 0)
	addRequests(m, 1, "usual", 100*time.Millisecond, 1, start, 20*time.Second)
	hot := start.Add(20 * time.Second)
	addRequests(m, 1, "usual", 100*time.Millisecond, 40, hot, time.Second)
	l, _ := m.Load("s", owners, hot.Add(time.Second))
	if r := l.ByKey[1]; r < 12 {
		t.Errorf("a key asked for 40 times a second counts as %.1f after a second", r)
	}
	addRequests(m, 1, "usual", 100*time.Millisecond, 40, hot.Add(time.Second), 5*time.Second)
	l, _ = m.Load("s", owners, hot.Add(6*time.Second))
	if r := l.ByKey[1]; r < 32 || r > 48 {
		t.Errorf("after six seconds it counts as %.1f", r)
	}
	l, _ = m.Load("s", owners, hot.Add(10*time.Second))
	if r := l.ByKey[1]; r > 10 {
		t.Errorf("four seconds after it cooled down it counts as %.1f", r)
	}
}

// Speeds are told from answer times, also where requests queue: an owner
// that answers late only because it is overloaded is not taken for slow.
func TestCapacityEstimateAllowsForQueueing(t *testing.T) {
	m := New()
	start := time.Unix(1000, 0)
	// slow takes 400 ms at little load; quick takes 100 ms. usual takes 200
	// ms but is offered all it can do, 15 a second, and answers after 800.
	addRequests(m, 1, "slow", 400*time.Millisecond, 3, start, 20*time.Second)
	addRequests(m, 2, "usual", 800*time.Millisecond, 15, start, 20*time.Second)
	addRequests(m, 3, "quick", 100*time.Millisecond, 3, start, 20*time.Second)
	l, _ := m.Load("s", owners, start.Add(20*time.Second))
	for id, want := range map[string]float64{"slow": 3 / 0.4, "usual": 3 / 0.2, "quick": 3 / 0.1} {
		if got := l.Capacity[id]; math.Abs(got-want) > 0.35*want {
			t.Errorf("%s can do %.1f a second, taken for %.1f", id, want, got)
		}
	}
}

// Chance alone does not make a key look hot.
func TestRandomVariationIsNotTakenForAChange(t *testing.T) {
	m := New()
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	worst := 0.0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		var s []Sample
		for range 10 {
			s = append(s, Sample{Key: rng.IntN(100), Upstream: "usual", Latency: 100 * time.Millisecond})
		}
		m.Add("s", s, 1, now)
		if i < 100 {
			continue
		}
		l, _ := m.Load("s", owners, now)
		for _, r := range l.ByKey {
			worst = max(worst, r)
		}
	}
	// Each key is asked for once a second.
	if worst > 7 {
		t.Errorf("a key asked for once a second looked like %.1f", worst)
	}
}
