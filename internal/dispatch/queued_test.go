package dispatch

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/view"
)

// limitToOneInFlight sets the connection limits and the number of hosts so that this
// host may have one request in flight at each upstream.
func (h *harness) limitToOneInFlight() {
	h.views.Publish(func(v *view.View) {
		d := *v.Desired
		d.Services = map[string]*desired.Service{"plain": {Name: "plain", MaxConns: 1}, "keyed": {Name: "keyed", Keyed: true, MaxConns: 1}}
		v.Desired = &d
	})
	h.d.SetHostCount(2, true)
}

// slowEcho responds after half of the time that a request may wait for admission.
func slowEcho(w io.Writer, c net.Conn, r *http.Request, number int64) bool {
	time.Sleep(testObjective / 4)
	return echo(w, c, r, number)
}

// echoAfter responds once release is closed.
func echoAfter(release <-chan struct{}) func(io.Writer, net.Conn, *http.Request, int64) bool {
	return func(w io.Writer, c net.Conn, r *http.Request, number int64) bool {
		<-release
		return echo(w, c, r, number)
	}
}

// While a request is queued for admission at an upstream, the upstream starts to leave
// and must get no new requests. The request must be sent to another upstream.
func TestQueuedRequestIsNotSentToLeavingUpstream(t *testing.T) {
	release := make(chan struct{})
	first, other := startUpstream(t, echoAfter(release)), startUpstream(t, echo)
	u1 := newUpstream("u1", "plain", first)
	h := newHarness(t, u1)
	h.limitToOneInFlight()
	done := make(chan response)
	go func() { done <- h.post("charge.example", "r1") }()
	<-first.received
	go func() { done <- h.post("charge.example", "r2") }()
	time.Sleep(testObjective / 8)
	leaving := *u1
	leaving.Leaving = true
	h.setUpstreams(&leaving, newUpstream("u2", "plain", other))
	close(release)
	for range 2 {
		resp := <-done
		resp.want(t, http.StatusOK, "")
	}
	if n := first.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the leaving upstream, want 1", n)
	}
}

// While a request is queued for admission at the owner of its key, the key moves. The
// request must be sent to the new owner, as the old one would reject it.
func TestQueuedRequestFollowsItsKey(t *testing.T) {
	release := make(chan struct{})
	oldOwner, newOwner := startUpstream(t, echoAfter(release)), startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "keyed", oldOwner), newUpstream("u2", "keyed", newOwner))
	h.limitToOneInFlight()
	h.setOwner("u1", 5)
	done := make(chan response)
	go func() { done <- h.get("keyed.example", "r1") }()
	<-oldOwner.received
	go func() { done <- h.get("keyed.example", "r2") }()
	time.Sleep(testObjective / 8)
	h.setOwner("u2", 6)
	close(release)
	for range 2 {
		resp := <-done
		resp.want(t, http.StatusOK, "")
	}
	if n := oldOwner.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the old owner, want 1", n)
	}
}
