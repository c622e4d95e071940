package scheduling

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

// A route of another priority with hardly any requests must not change how a service is served,
// and one with a third of them must count within seconds, until its requests end.
func TestServiceIsContendedByItsRequests(t *testing.T) {
	orders, look := desired.Class{Service: "s", Priority: 1}, desired.Class{Service: "s", Priority: 2}
	var m Mix
	now := time.Unix(1000, 0)
	play := func(requests, every int) (contended bool) {
		for i := range requests {
			now = now.Add(20 * time.Millisecond)
			class := orders
			if i%every == 0 {
				class = look
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
