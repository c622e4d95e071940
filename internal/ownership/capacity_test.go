package ownership

import (
	"math"
	"testing"
)

// An owner with a rate limit must get about the load that the limit allows,
// whatever the capacity of the others. With too few requests it could not report
// that the limit has been raised.
func TestLimitCapacityFillsLimitedOwners(t *testing.T) {
	byKey := make([]float64, KeySpaceSize)
	for k := range byKey {
		byKey[k] = 60.0 / KeySpaceSize
	}
	for _, c := range []struct {
		name   string
		limits map[string]float64
		want   map[string]float64
	}{
		{"none", nil, map[string]float64{"a": 20, "b": 20, "c": 20}},
		{"one", map[string]float64{"a": 5}, map[string]float64{"a": 4, "b": 28, "c": 28}},
		{"above its share", map[string]float64{"a": 90}, map[string]float64{"a": 20, "b": 20, "c": 20}},
		{"above its capacity", map[string]float64{"a": 1000}, map[string]float64{"a": 20, "b": 20, "c": 20}},
		{"all", map[string]float64{"a": 5, "b": 10, "c": 10}, map[string]float64{"a": 4, "b": 8, "c": 8}},
	} {
		l := Load{ByKey: byKey, Capacity: map[string]float64{"a": 100, "b": 100, "c": 100}}
		l.LimitCapacity(c.limits)
		if l.Weight == nil {
			t.Fatalf("%s: Weight is nil", c.name)
		}
		for id, want := range c.want {
			if got := l.Weight[id]; math.Abs(got-want) > 1e-6 {
				t.Errorf("%s: weight of %s is %v, want %v", c.name, id, got, want)
			}
			if limit, ok := c.limits[id]; ok && l.Capacity[id] != min(limit, 100) {
				t.Errorf("%s: capacity of %s is %v, want the lower of its limit and 100", c.name, id, l.Capacity[id])
			}
		}
	}
}
