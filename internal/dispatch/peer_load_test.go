package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
)

// The other hosts of the data centre have so many requests in flight at the only
// upstream that a response would exceed the latency objective. The request must be
// refused at once as not run, with a Retry-After header, and not be sent. The
// upstream must be used again once the peers' load has dropped or is out of date.
func TestRequestThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f))
	peerLoad := balance.PeerLoad{ID: "u1", InFlight: 30, WorkTime: testObjective / 4}
	h.d.picker.SetPeerLoads([]balance.PeerLoad{peerLoad}, time.Now())
	start := time.Now()
	resp := h.post("charge.example", "r1")
	resp.want(t, http.StatusServiceUnavailable, "")
	if took := time.Since(start); took > testObjective/4 {
		t.Errorf("refused only after %v", took)
	}
	if resp.header.Get("Retry-After") == "" || f.requestCount.Load() != 0 {
		t.Errorf("Retry-After %q, %d requests reached the upstream", resp.header.Get("Retry-After"), f.requestCount.Load())
	}
	peerLoad.InFlight = 2
	h.d.picker.SetPeerLoads([]balance.PeerLoad{peerLoad}, time.Now())
	h.post("charge.example", "r2").want(t, http.StatusOK, "")
	peerLoad.InFlight = 30
	h.d.picker.SetPeerLoads([]balance.PeerLoad{peerLoad}, time.Now().Add(-2*time.Second))
	h.post("charge.example", "r3").want(t, http.StatusOK, "")
}
