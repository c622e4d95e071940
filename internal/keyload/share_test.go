package keyload

import (
	"math"
	"testing"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// Two owners, one 2.3 times as fast as the other, are asked for a third of what
// they can do, and then for all of it. At first the slow one, whose answers
// come late whatever it is asked, gets less than its part; when both are busy
// each gets its part, or requests would queue at the fast one.
func TestFastOwnersArePreferredBelowFullUtilization(t *testing.T) {
	ups := []*catalogue.Upstream{{ID: "fast", Slots: 6}, {ID: "slow", Slots: 6}}
	capacity := map[string]float64{"fast": 23, "slow": 10}
	part := func(asked float64) float64 {
		s := loadShares(ownership.Load{ByKey: []float64{asked}, Capacity: capacity}, ups)
		return s["slow"] / (s["slow"] + s["fast"])
	}
	if got, even := part(11), 10.0/33; got > even*0.6 {
		t.Errorf("with room the slow owner gets %.2f of the load, its part of the capacity is %.2f", got, even)
	}
	if got, even := part(33), 10.0/33; math.Abs(got-even) > 0.001 {
		t.Errorf("when all are busy the slow owner gets %.2f of the load, want %.2f", got, even)
	}
}
