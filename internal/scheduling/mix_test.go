package scheduling

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

// A route of another priority with hardly any requests must not change how a service is served,
// and one with a third of them must count within seconds, until its requests end.
func TestServiceIsContendedByItsRequests(t *testing.T) {
	var m Mix
	now := time.Unix(1000, 0)
	play := func(requests, every int) (contended bool) {
		for i := range requests {
			now = now.Add(20 * time.Millisecond)
			class := urgentClass
			if i%every == 0 {
				class = otherClass
			}
			contended = m.Record(class, now)
		}
		return contended
	}
	if play(500, 50) {
		t.Error("contended by one request in fifty")
	}
	if !play(200, 3) {
		t.Error("not contended by one request in three after 4 s")
	}
	if play(1000, 1001) {
		t.Error("still contended 20 s after the last request of the other class")
	}
}

// A less urgent class with the shorter objective cannot wait for the urgent one. Held back, it was late:
// on one day its callers got 0.869 of their value instead of 0.901.
func TestClassThatCannotWaitDoesNotContend(t *testing.T) {
	var m Mix
	for i := range 100 {
		now := time.Unix(1000, 0).Add(time.Duration(i) * 20 * time.Millisecond)
		class := desired.Class{Service: "s", Priority: 1 + i%2, Objective: time.Duration(2-i%2) * time.Second}
		if m.Record(class, now) {
			t.Fatal("contended")
		}
	}
}
