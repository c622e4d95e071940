package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// reassignedAfterLoss plays the loss of the first n of sixty owners, each asked for six tenths
// of what it can do, for d, and returns the part of the lost owners' keys that have
// another owner by then.
func reassignedAfterLoss(t *testing.T, n int, d time.Duration) float64 {
	t.Helper()
	h, ids := newHarnessWithOwners(t, 60)
	h.warmUp = 5 * time.Second
	h.publishView()
	h.p.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		byKey := make([]float64, ownership.KeySpaceSize)
		for k := range byKey {
			byKey[k] = 0.6 * 60 * 12 / ownership.KeySpaceSize
		}
		capacity := map[string]float64{}
		for _, u := range owners {
			capacity[u.ID] = 12
		}
		return ownership.Load{ByKey: byKey, Capacity: capacity}, 10 * minSamples
	}
	lost := map[string]bool{}
	for _, id := range ids[:n] {
		lost[id] = true
	}
	before := h.table
	h.simulate(d, func(a Action) error {
		switch a := a.(type) {
		case *Grant:
			if lost[a.Addr] {
				return ownership.ErrNotSent
			}
		case *Release:
			if lost[before.Find(a.Range.From).Owner] {
				return ownership.ErrNotSent
			}
		}
		return nil
	})
	keys, reassigned := 0, 0
	for _, r := range before.Ranges {
		if !lost[r.Owner] {
			continue
		}
		for k := r.From; k <= r.To; k++ {
			keys++
			if h.table.Find(k).Owner != r.Owner {
				reassigned++
			}
		}
	}
	return float64(reassigned) / float64(keys)
}

// A cut takes a third of the owners away for some seconds. Their keys were placed
// on the others at once, slow as keys are that come without a handover, and the
// others were asked for twice what they could do. A part of the keys is placed
// now, as much as the others can bear, and the rest within half a minute. The keys
// of a few lost owners are all placed as soon as nobody can hold them.
func TestManyLostOwnersKeysAreReassignedWithinCapacity(t *testing.T) {
	const grantsExpired = 6 * time.Second
	if reassigned := reassignedAfterLoss(t, 2, grantsExpired); reassigned < 1 {
		t.Errorf("%.2f of the keys of two lost owners have another after %v", reassigned, grantsExpired)
	}
	if reassigned := reassignedAfterLoss(t, 20, grantsExpired); reassigned < 0.1 || reassigned > 0.6 {
		t.Errorf("%.2f of the keys of twenty lost owners have another after %v", reassigned, grantsExpired)
	}
	if reassigned := reassignedAfterLoss(t, 20, 30*time.Second); reassigned < 1 {
		t.Errorf("%.2f of them have another after 30 s", reassigned)
	}
}
