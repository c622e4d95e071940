package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

// The planner must write a record before it assigns any key: the record shows the other
// hosts which planner to follow. Keys must be assigned only after the upstreams had time
// to register, or the first one would get them all.
func TestFirstRecordPrecedesFirstAssignment(t *testing.T) {
	h := newHarness(t, "a")
	h.simulate(minRegistrationWait/2, succeedAll)
	if h.table == nil || owns(h.table, "a") {
		t.Fatalf("want a table without owners after half of minRegistrationWait, got %+v", h.table)
	}
	h.upstreams["b"] = &catalogue.Upstream{ID: "b", Service: simService, Addr: "b", Slots: 3}
	h.publishView()
	h.simulate(minRegistrationWait, succeedAll)
	if !owns(h.table, "a") || !owns(h.table, "b") || owns(h.table, "") {
		t.Errorf("the keys are not assigned to both upstreams: %+v", h.table.Ranges)
	}
}

// The upstreams of a large fleet register over 2 s. The first assignment must wait until
// no more register. Otherwise the first few would get all keys and, for lack of capacity,
// requests for these would be refused while the other upstreams own nothing.
func TestFirstAssignmentWaitsForLargeFleetToRegister(t *testing.T) {
	h := newHarness(t)
	h.simulate(registrationQuiet, succeedAll)
	const count = 20
	for i := range count {
		id := fmt.Sprintf("u%02d", i)
		h.upstreams[id] = &catalogue.Upstream{ID: id, Service: simService, Addr: id, Slots: 3}
		h.publishView()
		h.simulate(100*time.Millisecond, succeedAll)
	}
	h.simulate(minRegistrationWait, succeedAll)
	for id := range h.upstreams {
		if !owns(h.table, id) {
			t.Errorf("%s owns no keys", id)
		}
	}
}

// Upstreams that keep registering must not delay the first assignment forever: after
// maxRegistrationWait the keys are assigned to those that have registered.
func TestFirstAssignmentWaitIsBounded(t *testing.T) {
	h := newHarness(t)
	for elapsed := time.Duration(0); elapsed < maxRegistrationWait+registrationQuiet; elapsed += registrationQuiet / 2 {
		id := fmt.Sprint("u", elapsed)
		h.upstreams[id] = &catalogue.Upstream{ID: id, Service: simService, Addr: id, Slots: 3}
		h.publishView()
		h.simulate(registrationQuiet/2, succeedAll)
	}
	if h.table == nil || owns(h.table, "") {
		t.Error("the keys are not assigned while upstreams keep registering")
	}
}
