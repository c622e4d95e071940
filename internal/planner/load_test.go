package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// newHarnessWithOwners returns a harness with n upstreams among which all keys have
// been assigned, and the upstreams' IDs.
func newHarnessWithOwners(t *testing.T, n int) (*harness, []string) {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("u%02d", i))
	}
	h := newHarness(t, ids...)
	h.simulate(4*time.Second, succeedAll)
	return h, ids
}

// setBusyKeys gives all keys the same load, except for a twentieth of the key space
// from *first on, whose load is ten times as high. The estimate rests on enough
// requests for load moves.
func (h *harness) setBusyKeys(first *int) {
	h.p.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		byKey := make([]float64, ownership.KeySpaceSize)
		for k := range byKey {
			byKey[k] = 0.01
		}
		for k := *first; k < *first+ownership.KeySpaceSize/20; k++ {
			byKey[k] = 0.1
		}
		capacity := map[string]float64{}
		for _, u := range owners {
			capacity[u.ID] = 100
		}
		return ownership.Load{ByKey: byKey, Capacity: capacity}, 10 * minSamples
	}
}

// A partition makes half of sixty owners unreachable, and the moves of their keys wait
// 3 s until the grants have expired. These moves must not use up the budget for load
// moves: an overloaded owner that is reachable must be relieved meanwhile.
func TestLostOwnersDoNotBlockLoadMoves(t *testing.T) {
	h, ids := newHarnessWithOwners(t, 60)
	unreachable := map[string]bool{}
	for _, id := range ids[:30] {
		unreachable[id] = true
	}
	respond := func(a Action) error {
		switch a := a.(type) {
		case *Grant:
			if unreachable[a.Addr] {
				return ownership.ErrNoResponse
			}
		case *Release:
			if unreachable[a.Addr] {
				return ownership.ErrNoResponse
			}
		}
		return nil
	}
	h.simulate(testOptions.GrantTTL*7/10, respond)
	if lost := len(h.table.Lost); lost != 30 {
		t.Fatalf("setup: %d owners are lost, want 30", lost)
	}
	first := 0
	for h.table.Find(first).Owner != ids[45] {
		first++
	}
	h.setBusyKeys(&first)
	before := h.table
	h.simulate(500*time.Millisecond, respond)
	if moved := h.table.KeysMovedSince(before); moved == 0 {
		t.Error("no key of an overloaded owner moved while other owners were lost")
	}
}

// An owner has 1.5 times its share of the load, and the response to one of its grants was
// lost. Keys taken from it now would have no owner until that grant has expired, 3 s
// later; while they stay, requests for them are slow but served. They must move only
// once the grant has expired.
func TestNoLoadMoveWhileOwnerHasNotRespondedToGrant(t *testing.T) {
	h, ids := newHarnessWithOwners(t, 20)
	overloaded := ids[7]
	h.p.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		byKey := make([]float64, ownership.KeySpaceSize)
		for k := range byKey {
			byKey[k] = 0.01
			if h.table.Find(k).Owner == overloaded {
				byKey[k] = 0.017
			}
		}
		capacity := map[string]float64{}
		for _, u := range owners {
			capacity[u.ID] = 100
		}
		return ownership.Load{ByKey: byKey, Capacity: capacity}, 10 * minSamples
	}
	responseLost := false
	respond := func(a Action) error {
		if g, ok := a.(*Grant); ok && g.Addr == overloaded && !responseLost {
			responseLost = true
			return ownership.ErrNoResponse
		}
		return nil
	}
	for !responseLost {
		// Postpone the load check until a grant's response has been lost.
		h.p.terms[simService].nextRebalance = h.now.Add(rebalanceInterval)
		h.simulate(simStep, respond)
	}
	before := h.table
	h.simulate(2*time.Second, respond)
	if n := len(h.p.terms[simService].moves); n > 0 {
		t.Errorf("%d moves started while the response to the owner's grant was missing", n)
	}
	h.simulate(2*time.Second, respond)
	if h.table.KeysMovedSince(before) == 0 {
		t.Error("no key moved off the overloaded owner after the grant without a response had expired")
	}
}

// Each record of the table goes to every host of the fleet. When load shifts all the
// time, records that contain only load moves must be at least loadRecordInterval apart.
func TestLoadMoveRecordsAreBatched(t *testing.T) {
	h, _ := newHarnessWithOwners(t, 60)
	first := 0
	h.setBusyKeys(&first)
	records := 0
	const duration = 2 * time.Second
	var releases []Action // one gets its response per step, as requests in flight complete
	for end := h.now.Add(duration); h.now.Before(end); h.now = h.now.Add(simStep) {
		for _, a := range h.p.Tick(h.now, h.publisher.Load()) {
			if record, ok := a.(*Append); ok && record.Cause == causeLoad {
				records++
			}
			if _, ok := a.(*Release); ok {
				releases = append(releases, a)
				continue
			}
			h.complete(a, nil)
		}
		if len(releases) > 0 {
			h.complete(releases[0], nil)
			releases = releases[1:]
		}
		if first += 100; first > ownership.KeySpaceSize*9/10 {
			first = 0
		}
	}
	if maxRecords := int(duration/loadRecordInterval) + 1; records == 0 || records > maxRecords {
		t.Errorf("%d records of load moves in %v, want 1 to %d", records, duration, maxRecords)
	}
}
