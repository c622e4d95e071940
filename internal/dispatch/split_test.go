package dispatch

import (
	"math"
	"testing"

	"github.com/papayatide/papayatide/internal/desired"
)

// Guards against a split that sends nearly everything to the heaviest share, because each
// request is the first of its route on its host or after a reset of the counters.
func TestSplitKeepsProportionsOfManyRoutesWithFewRequests(t *testing.T) {
	const routes, rounds, light = 1500, 2, 0.4
	shares := []desired.Share{{Service: "heavy", Weight: 60}, {Service: "light", Weight: 40}, {Service: "none", Weight: 0}}
	all := make([]*desired.Route, routes)
	for i := range all {
		all[i] = &desired.Route{Shares: shares}
	}
	s, count := &splitter{}, map[string]int{}
	for range rounds {
		for _, r := range all {
			count[s.pick(1, r)]++
		}
	}
	if got := float64(count["light"]) / (routes * rounds); math.Abs(got-light) > 0.1 || count["none"] > 0 {
		t.Errorf("%.2f of the requests went to the share of %.2f, %d to one without weight", got, light, count["none"])
	}
}

// Guards against a split of one busy route that strays from its weights.
func TestSplitOfOneRouteFollowsItsWeights(t *testing.T) {
	route := &desired.Route{Shares: []desired.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	s, count := &splitter{}, 0
	for i := range 400 {
		if s.pick(1, route) == "a" {
			count++
		}
		if want := 0.75 * float64(i+1); math.Abs(float64(count)-want) > 2 {
			t.Fatalf("%d of %d requests went to a share of 3/4", count, i+1)
		}
	}
}
