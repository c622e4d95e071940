package keyload

import (
	"math"
	"testing"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// One of two owners is 2.3 times as fast as the other. At a third of their total
// capacity the slow one must get less than its part of the capacity, as it has
// long response times under any load. At full utilization each must get its part,
// or requests would queue at the fast one.
func TestFastOwnersArePreferredBelowFullUtilization(t *testing.T) {
	ups := []*catalogue.Upstream{{ID: "fast", Slots: 6}, {ID: "slow", Slots: 6}}
	capacity := map[string]float64{"fast": 23, "slow": 10}
	slowPart := func(totalLoad float64) float64 {
		s := loadWeights(ownership.Load{ByKey: []float64{totalLoad}, Capacity: capacity}, ups)
		return s["slow"] / (s["slow"] + s["fast"])
	}
	if got, proportional := slowPart(11), 10.0/33; got > proportional*0.6 {
		t.Errorf("at a third of the capacity the slow owner gets %.2f of the load, want at most 0.6 times its part of the capacity, %.2f", got, proportional)
	}
	if got, proportional := slowPart(33), 10.0/33; math.Abs(got-proportional) > 0.001 {
		t.Errorf("at full utilization the slow owner gets %.2f of the load, want %.2f", got, proportional)
	}
}
