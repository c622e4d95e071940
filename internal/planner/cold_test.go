package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

// Hosts may send an upstream in its slow start only a few requests a second, so most
// requests for its keys would be refused. A cold upstream must therefore get no keys,
// and an owner that becomes cold must lose its keys, unless more than half of the
// upstreams are cold.
func TestColdUpstreamsOwnNoKeysWhileOthersAreWarm(t *testing.T) {
	cold := map[string]bool{"c": true}
	h := newHarness(t, "a", "b", "c")
	h.p.Cold = func(u *catalogue.Upstream) bool { return cold[u.ID] }
	h.simulate(4*time.Second, succeedAll)
	if !owns(h.table, "a") || !owns(h.table, "b") || owns(h.table, "c") {
		t.Fatal("the cold upstream owns keys, or a warm one owns none")
	}
	cold["a"], cold["c"] = true, false
	h.simulate(2*time.Second, succeedAll)
	if owns(h.table, "a") || !owns(h.table, "c") {
		t.Error("an owner that became cold keeps its keys, or an upstream that became warm gets none")
	}
	cold["b"], cold["c"] = true, true
	h.simulate(2*time.Second, succeedAll)
	if !owns(h.table, "b") || !owns(h.table, "c") {
		t.Error("cold upstreams own no keys although most upstreams are cold")
	}
}
