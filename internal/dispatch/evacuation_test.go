package dispatch

import (
	"net/http"
	"testing"
	"time"
)

// A data centre is evacuated. Its upstream must serve the keys that it still owns until
// HandoverBy; after that, requests for them are refused as not run. Requests to a service
// that is not keyed must not be sent there at all, even if no other upstream is left.
func TestEvacuatedUpstreamServesItsKeysUntilHandoverBy(t *testing.T) {
	f := startUpstream(t, echo)
	owner, plain := newUpstream("u1", "keyed", f), newUpstream("u2", "plain", f)
	owner.HandoverBy = time.Now().Add(time.Second)
	plain.HandoverBy = owner.HandoverBy
	h := newHarness(t, owner, plain)
	h.setOwner("u1", 1)
	h.get("keyed.example", "r1").want(t, http.StatusOK, "")
	h.get("read.example", "r2").want(t, http.StatusServiceUnavailable, "")
	time.Sleep(time.Until(owner.HandoverBy))
	h.get("keyed.example", "r3").want(t, http.StatusServiceUnavailable, "")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the data centre, want 1", n)
	}
}
