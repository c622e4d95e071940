package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/shares"
	"github.com/papayatide/papayatide/internal/view"
)

// newGatedHarness returns a harness in which charge.example and read.example compete for the
// service plain, charge.example being more urgent, and a gate.
func newGatedHarness(t *testing.T, f *fakeUpstream) *harness {
	t.Helper()
	h := newHarness(t, newUpstream("u1", "plain", f))
	route := func(host string, priority int) *desired.Route {
		return &desired.Route{Name: host, Host: host, Prefix: "/", Timeout: testTimeout, LatencyObjective: testObjective << priority, Priority: priority, MaxAttempts: 2,
			Shares: []desired.Share{{Service: "plain", Weight: 1}}}
	}
	services := map[string]*desired.Service{"plain": {Name: "plain"}}
	h.views.Publish(func(v *view.View) {
		v.Desired = desired.New(8, []*desired.Route{route("charge.example", 0), route("read.example", 1)}, services, desired.Limits{})
	})
	h.contend()
	h.d.Gate = shares.NewGate()
	return h
}

// setShares gives each class of the service plain a share of zero at now.
func (h *harness) setShares(now time.Time) {
	var all []shares.Share
	for _, c := range h.views.Load().Desired.Classes("plain") {
		all = append(all, shares.Share{Class: c, Work: 100 * time.Millisecond, Scarce: true, Valid: shares.Validity, AdmittedFraction: 0.5})
	}
	h.d.Gate.Update(all, now)
}

// A request beyond the share must be refused at once as not run, with a Retry-After header,
// and not be sent. As the room is only an estimate, a class must be served nevertheless while an
// upstream has a free slot, the most urgent one always, and every class once the share has expired.
func TestRequestBeyondTheShareIsRefused(t *testing.T) {
	f := startUpstream(t, echo)
	h := newGatedHarness(t, f)
	h.get("read.example", "r1").want(t, http.StatusOK, "")
	setPeerLoad := func(inFlight int) {
		h.d.picker.SetPeerLoads([]balance.PeerLoad{{ID: "u1", InFlight: inFlight, WorkTime: testObjective / 10}}, time.Now())
	}
	sent := f.requestCount.Load()
	for _, step := range []struct {
		host     string
		inFlight int
		status   int
	}{
		{"read.example", 2, http.StatusOK}, // the upstream has 3 slots
		{"read.example", 3, http.StatusServiceUnavailable},
		{"charge.example", 3, http.StatusOK},
	} {
		h.setShares(time.Now())
		setPeerLoad(step.inFlight)
		resp := h.post(step.host, "r2")
		resp.want(t, step.status, "")
		if refused := step.status != http.StatusOK; refused && (resp.header.Get("Retry-After") == "" || resp.body != string(CauseShare)+"\n") {
			t.Errorf("%s with %d in flight: Retry-After %q, cause %q", step.host, step.inFlight, resp.header.Get("Retry-After"), resp.body)
		}
	}
	if n := f.requestCount.Load() - sent; n != 2 {
		t.Errorf("%d requests were sent, want 2", n)
	}
	h.setShares(time.Now().Add(-shares.Validity))
	h.get("read.example", "r3").want(t, http.StatusOK, "")
}

// A share must limit neither requests with a key nor those to a service that has no competing
// classes any more.
func TestShareIsNotCheckedWhereItDoesNotApply(t *testing.T) {
	f := startUpstream(t, echo)
	h := newGatedHarness(t, f)
	h.setShares(time.Now())
	req := &request{key: 5, route: h.views.Load().Desired.Match("read.example", "/"), service: &desired.Service{Name: "plain"}}
	if refusal := h.d.shareRefusal(req, time.Now()); refusal != nil {
		t.Errorf("request with a key: %v", refusal.Cause)
	}
	state := h.views.Load().Desired
	h.views.Publish(func(v *view.View) {
		v.Desired = desired.New(9, []*desired.Route{state.Match("read.example", "/")}, state.Services, desired.Limits{})
	})
	h.get("read.example", "r1").want(t, http.StatusOK, "")
}
