package ownership

import (
	"math"
	"testing"
)

// An owner with a limit must get about what the limit allows, whatever the others'
// capacity: with less it is hardly asked and cannot report the limit's end.
func TestLimitCapacityFillsLimitedOwners(t *testing.T) {
	byKey := make([]float64, KeySpaceSize)
	for k := range byKey {
		byKey[k] = 60.0 / KeySpaceSize
	}
	for _, c := range []struct {
		name string
		most map[string]float64
		want map[string]float64
	}{
		{"none", nil, map[string]float64{"a": 20, "b": 20, "c": 20}},
		{"one", map[string]float64{"a": 5}, map[string]float64{"a": 4, "b": 28, "c": 28}},
		{"above its share", map[string]float64{"a": 90}, map[string]float64{"a": 20, "b": 20, "c": 20}},
		{"above its capacity", map[string]float64{"a": 1000}, map[string]float64{"a": 20, "b": 20, "c": 20}},
		{"all", map[string]float64{"a": 5, "b": 10, "c": 10}, map[string]float64{"a": 4, "b": 8, "c": 8}},
	} {
		l := Load{ByKey: byKey, Capacity: map[string]float64{"a": 100, "b": 100, "c": 100}}
		l.LimitCapacity(c.most)
		if l.Share == nil {
			t.Fatalf("%s: no shares", c.name)
		}
		for id, want := range c.want {
			if got := l.Share[id]; math.Abs(got-want) > 1e-6 {
				t.Errorf("%s: share of %s is %v, want %v", c.name, id, got, want)
			}
			if most, ok := c.most[id]; ok && l.Capacity[id] != min(most, 100) {
				t.Errorf("%s: capacity of %s is %v", c.name, id, l.Capacity[id])
			}
		}
	}
}
