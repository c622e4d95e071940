package keyload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/worktime"
)

var seedSpeeds = []float64{0.7, 1, 1.7}

func speedUpstreams() []*catalogue.Upstream {
	var ups []*catalogue.Upstream
	for i := range 12 {
		ups = append(ups, &catalogue.Upstream{ID: fmt.Sprint("u", i), Service: "s", Slots: 6})
	}
	return ups
}

// addResponses adds a response of 170 ms at the given speeds from each upstream, ten times a
// second.
func addResponses(e *Estimator, ups []*catalogue.Upstream, speeds []float64, d time.Duration, now time.Time) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		for i, u := range ups {
			e.Add("s", []Sample{{Key: i, Upstream: u.ID, Latency: time.Duration(0.17 / speeds[i%len(speeds)] * float64(time.Second))}}, 1, now)
		}
	}
	return now
}

// checkCapacities checks the capacities relative to that of the upstreams of median speed.
func checkCapacities(t *testing.T, e *Estimator, ups []*catalogue.Upstream, speeds []float64, now time.Time) {
	t.Helper()
	load, _ := e.Load("s", ups, now)
	for i := range speeds {
		if got := load.Capacity[ups[i].ID] / load.Capacity[ups[1].ID]; math.Abs(got/speeds[i]-1) > 0.15 {
			t.Errorf("capacity of the upstream of speed %v relative to the median: %.2f", speeds[i], got)
		}
	}
}

// Guards against a new planner giving slow upstreams as many keys as fast ones until it has measured
// them, and against received speeds outlasting its own measurements by more than seconds.
func TestNewPlannerStartsFromSpeeds(t *testing.T) {
	ups, now := speedUpstreams(), time.Unix(1000, 0)
	previous, next := New(), New()
	now = addResponses(previous, ups, seedSpeeds, 20*time.Second, now)
	speeds := previous.Speeds("s", ups, now)
	if len(speeds) != len(ups) {
		t.Fatalf("%d speeds of %d upstreams", len(speeds), len(ups))
	}
	next.Seed("s", speeds, now)
	checkCapacities(t, next, ups, seedSpeeds, now)
	now = addResponses(next, ups, seedSpeeds, 200*time.Millisecond, now)
	checkCapacities(t, next, ups, seedSpeeds, now)
	if passedOn := next.Speeds("s", ups, now); len(passedOn) != len(ups) {
		t.Errorf("the new planner passes on %d speeds", len(passedOn))
	}
	changed := []float64{1.7, 1, 0.7}
	now = addResponses(next, ups, changed, 12*time.Second, now)
	checkCapacities(t, next, ups, changed, now)
}

// Speeds that are old, out of range or without responses, as a faulty planner might send, must
// not count.
func TestUnusableSpeedsAreIgnored(t *testing.T) {
	ups, now := speedUpstreams(), time.Unix(1000, 0)
	e := New()
	e.Seed("s", []worktime.Speed{{ID: "u0", Speed: 0, Responses: 9}, {ID: "u0", Speed: math.NaN(), Responses: 9}, {ID: "u0", Speed: 1e6, Responses: 9},
		{ID: "u0", Speed: 1.7, Responses: 9, Age: 2 * time.Minute}, {ID: "u0", Speed: 1.7}}, now)
	checkCapacities(t, e, ups, []float64{1, 1, 1}, now)
	if got := e.Speeds("s", ups, now); len(got) != 0 {
		t.Errorf("passed on: %+v", got)
	}
}
