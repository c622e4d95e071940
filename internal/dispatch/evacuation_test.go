package dispatch

import (
	"net/http"
	"testing"
	"time"
)

// A data centre is evacuated. Callers of keys that its upstream still owns are
// served there until the time is over, and refused as not run from then on; those
// of a service without keys are not sent there at all, also if nothing else is left.
func TestEvacuatedUpstreamServesItsKeysUntilLeaveBy(t *testing.T) {
	f := startUpstream(t, echo)
	owner, plain := newUpstream("u1", "keyed", f), newUpstream("u2", "plain", f)
	owner.LeaveBy = time.Now().Add(time.Second)
	plain.LeaveBy = owner.LeaveBy
	g := newHarness(t, owner, plain)
	g.setOwner("u1", 1)
	g.get("keyed.example", "r1").want(t, http.StatusOK, "")
	g.get("read.example", "r2").want(t, http.StatusServiceUnavailable, "")
	time.Sleep(time.Until(owner.LeaveBy))
	g.get("keyed.example", "r3").want(t, http.StatusServiceUnavailable, "")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the data centre, want 1", n)
	}
}
