package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

// An upstream joins and is in its slow start: the hosts could send it a few requests
// a second only, so that callers of its keys would mostly be refused. It owns none
// until it is warm, and an owner that becomes cold gives its keys up; where more
// than half are cold they own keys all the same.
func TestColdUpstreamsOwnNoKeysWhileOthersAreWarm(t *testing.T) {
	cold := map[string]bool{"c": true}
	h := newHarness(t, "a", "b", "c")
	h.p.Cold = func(u *catalogue.Upstream) bool { return cold[u.ID] }
	h.simulate(4*time.Second, succeedAll)
	if !owns(h.table, "a") || !owns(h.table, "b") || owns(h.table, "c") {
		t.Fatal("the cold one owns keys, or a warm one none")
	}
	cold["a"], cold["c"] = true, false
	h.simulate(2*time.Second, succeedAll)
	if owns(h.table, "a") || !owns(h.table, "c") {
		t.Error("an owner that became cold keeps its keys, or one that is warm gets none")
	}
	cold["b"], cold["c"] = true, true
	h.simulate(2*time.Second, succeedAll)
	if !owns(h.table, "b") || !owns(h.table, "c") {
		t.Error("owners lose their keys though all are cold")
	}
}
