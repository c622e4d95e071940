package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/ownership"
)

// Guards against a fleet that never serves a key again after all owners have been unresponsive at
// once, as when the planner's host and its helpers stall or lose their paths.
func TestKeysReturnAfterAllOwnersWereLost(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	h.simulate(5*time.Second, succeedAll)
	owners, lost := *h.table, 0
	h.p.OnEvent = func(e Event) {
		if e.Kind == UpstreamLost {
			lost++
		}
	}
	h.simulate(6*time.Second, func(a Action) error {
		if _, ok := a.(*Grant); ok {
			return ownership.ErrNoResponse
		}
		return nil
	})
	if lost < 3 {
		t.Fatalf("setup: %d owners were lost", lost)
	}
	h.simulate(3*time.Second, succeedAll)
	granted := 0
	for _, a := range h.simulate(testOptions.GrantTTL, succeedAll) {
		if g, ok := a.(*Grant); ok && h.table.Find(g.Range.From).FencingToken == g.Range.FencingToken {
			granted += g.Range.To - g.Range.From + 1
		}
	}
	if granted < ownership.KeySpaceSize || len(h.table.Lost) > 0 {
		t.Errorf("grants for %d of %d keys, %d owners are lost", granted, ownership.KeySpaceSize, len(h.table.Lost))
	}
	for key := 0; key < ownership.KeySpaceSize; key += 997 {
		if owners.Find(key).Owner != h.table.Find(key).Owner {
			t.Errorf("key %d has moved", key)
		}
	}
}
