package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
)

// The other hosts of the data centre have so many requests at the only
// upstream that an answer would come after the caller's objective. The caller
// is told at once that its request was not run and when to return, and the
// upstream hears nothing of it. Once the others' requests are done, or nothing
// has been heard of them for a while, the upstream is used again.
func TestRequestThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	f := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "plain", f))
	crowd := balance.PeerLoad{ID: "u1", InFlight: 30, WorkTime: testObjective / 4}
	g.d.picker.SetPeerLoads([]balance.PeerLoad{crowd}, time.Now())
	start := time.Now()
	a := g.post("charge.example", "r1")
	a.want(t, http.StatusServiceUnavailable, "")
	if took := time.Since(start); took > testObjective/4 {
		t.Errorf("refused only after %v", took)
	}
	if a.header.Get("Retry-After") == "" || f.requestCount.Load() != 0 {
		t.Errorf("Retry-After %q, %d requests reached the upstream", a.header.Get("Retry-After"), f.requestCount.Load())
	}
	crowd.InFlight = 2
	g.d.picker.SetPeerLoads([]balance.PeerLoad{crowd}, time.Now())
	g.post("charge.example", "r2").want(t, http.StatusOK, "")
	crowd.InFlight = 30
	g.d.picker.SetPeerLoads([]balance.PeerLoad{crowd}, time.Now().Add(-2*time.Second))
	g.post("charge.example", "r3").want(t, http.StatusOK, "")
}
