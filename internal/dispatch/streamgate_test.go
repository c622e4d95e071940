package dispatch

import (
	"testing"
	"time"
)

// Guards against callers that stop sending streamed bodies and hold all slots of the upstreams, and against a
// bound on streamed bodies in calm.
func TestStreamedBodiesAreBoundedOnlyWhileCallersStall(t *testing.T) {
	const limit = 2
	g := &streamGate{}
	now := time.Unix(1000, 0)
	for range 10 * limit {
		if !g.begin(limit, now) {
			t.Fatal("refused in calm")
		}
	}
	for i := range 10 * limit {
		g.end(i < minStalls, now)
	}
	for range limit {
		if !g.begin(limit, now) {
			t.Fatal("refused below the limit")
		}
	}
	if g.begin(limit, now.Add(stallWindow/2)) {
		t.Error("not bounded while callers stall")
	}
	if !g.begin(limit, now.Add(stallWindow)) {
		t.Error("bounded although nobody has stalled for a while")
	}
}
