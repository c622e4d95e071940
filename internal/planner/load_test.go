package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// newHarnessWithOwners is a harness with so many upstreams, which have their keys, and
// samples enough for load to be looked at.
func newHarnessWithOwners(t *testing.T, n int) (*harness, []string) {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("u%02d", i))
	}
	h := newHarness(t, ids...)
	h.simulate(4*time.Second, succeedAll)
	return h, ids
}

// setBusyKeys makes the planner see equal load on all keys but those from first
// on, which are asked for ten times as much.
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

// A cut takes half of sixty owners away: their keys wait three seconds for
// leases to run out. Callers of keys at an overloaded owner that lives must not
// wait for that too: its keys move meanwhile.
func TestLostOwnersDoNotBlockLoadMoves(t *testing.T) {
	h, ids := newHarnessWithOwners(t, 60)
	unreachable := map[string]bool{}
	for _, id := range ids[:30] {
		unreachable[id] = true
	}
	answer := func(a Action) error {
		switch a := a.(type) {
		case *Grant:
			if unreachable[a.Addr] {
				return ownership.ErrNoAnswer
			}
		case *Release:
			if unreachable[a.Addr] {
				return ownership.ErrNoAnswer
			}
		}
		return nil
	}
	h.simulate(testOptions.GrantTTL*7/10, answer)
	if lost := len(h.table.Lost); lost != 30 {
		t.Fatalf("the play is wrong: %d owners are lost", lost)
	}
	first := 0
	for h.table.Find(first).Owner != ids[45] {
		first++
	}
	h.setBusyKeys(&first)
	before := h.table
	h.simulate(500*time.Millisecond, answer)
	if moved := h.table.KeysMovedSince(before); moved == 0 {
		t.Error("no key of an overloaded owner moved while others were lost")
	}
}

// An owner is asked for half as much again as its share, and the answer to one
// of its grants was lost. Taken from it now, its keys would have no owner until
// that grant has run out, three seconds; callers are served, if late, while they
// stay. Once the lost grant counts no more they move.
func TestNoLoadMoveWhileOwnersGrantIsUnanswered(t *testing.T) {
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
	answerLost := false
	answer := func(a Action) error {
		if g, ok := a.(*Grant); ok && g.Addr == overloaded && !answerLost {
			answerLost = true
			return ownership.ErrNoAnswer
		}
		return nil
	}
	for !answerLost {
		// A grant's answer is lost before load is looked at.
		h.p.services[simService].nextRebalance = h.now.Add(rebalanceInterval)
		h.simulate(simStep, answer)
	}
	before := h.table
	h.simulate(2*time.Second, answer)
	if n := len(h.p.services[simService].moves); n > 0 {
		t.Errorf("%d ranges were taken from their owner that no other may serve for seconds", n)
	}
	h.simulate(2*time.Second, answer)
	if h.table.KeysMovedSince(before) == 0 {
		t.Error("the overloaded owner is not relieved afterwards")
	}
}

// Load shifts all the time. Each record of the table goes to every host of the
// fleet: those for load alone come no closer than gatherMoves.
func TestLoadMoveRecordsAreBatched(t *testing.T) {
	h, _ := newHarnessWithOwners(t, 60)
	first := 0
	h.setBusyKeys(&first)
	records := 0
	const duration = 2 * time.Second
	var releases []Action // answered one a step, as the work under way ends
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
		t.Errorf("%d records of moves for load in %v, want 1 to %d", records, duration, maxRecords)
	}
}
