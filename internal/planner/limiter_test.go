package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// reassignedAfterLoss simulates the loss of the first n of sixty owners, each loaded to
// 60% of its capacity, and returns the fraction of the lost owners' keys that have
// another owner after d.
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

// A partition makes a third of the owners unreachable for some seconds. Their keys are
// slow after a reassignment without a handover; if the other owners got all of them at
// once, their load would be twice their capacity. Only as many as fit that capacity may move
// at once, the rest within 30 s. A few owners' keys move as soon as their grants expire.
func TestManyLostOwnersKeysAreReassignedWithinCapacity(t *testing.T) {
	const grantsExpired = 6 * time.Second
	if reassigned := reassignedAfterLoss(t, 2, grantsExpired); reassigned < 1 {
		t.Errorf("reassigned fraction of two lost owners' keys is %.2f after %v, want 1", reassigned, grantsExpired)
	}
	if reassigned := reassignedAfterLoss(t, 20, grantsExpired); reassigned < 0.1 || reassigned > 0.6 {
		t.Errorf("reassigned fraction of twenty lost owners' keys is %.2f after %v, want 0.1 to 0.6", reassigned, grantsExpired)
	}
	if reassigned := reassignedAfterLoss(t, 20, 30*time.Second); reassigned < 1 {
		t.Errorf("reassigned fraction of twenty lost owners' keys is %.2f after 30 s, want 1", reassigned)
	}
}
