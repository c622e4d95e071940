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

// limitToOneInFlight lets this host have a single request under way to an upstream.
func (g *harness) limitToOneInFlight() {
	g.views.Publish(func(v *view.View) {
		d := *v.Desired
		d.Services = map[string]*desired.Service{"plain": {Name: "plain", MaxConns: 1}, "keyed": {Name: "keyed", Keyed: true, MaxConns: 1}}
		v.Desired = &d
	})
	g.d.SetHostCount(2, true)
}

// slowEcho answers after half of what a request may wait for its turn.
func slowEcho(w io.Writer, c net.Conn, r *http.Request, n int64) bool {
	time.Sleep(testObjective / 4)
	return echo(w, c, r, n)
}

// A request waits for its turn at an upstream. Meanwhile the upstream starts
// to leave, and must get nothing new: the request goes to another one.
func TestQueuedRequestIsNotSentToLeavingUpstream(t *testing.T) {
	first, other := startUpstream(t, slowEcho), startUpstream(t, echo)
	u1 := newUpstream("u1", "plain", first)
	g := newHarness(t, u1)
	g.limitToOneInFlight()
	done := make(chan response)
	go func() { done <- g.post("charge.example", "r1") }()
	<-first.received
	go func() { done <- g.post("charge.example", "r2") }()
	time.Sleep(testObjective / 8)
	leaving := *u1
	leaving.Leaving = true
	g.setUpstreams(&leaving, newUpstream("u2", "plain", other))
	for range 2 {
		a := <-done
		a.want(t, http.StatusOK, "")
	}
	if n := first.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the leaving upstream, want the one from before", n)
	}
}

// A request waits for its turn at the owner of its key. Meanwhile the key
// moves: the request goes to the new owner, not to the old one, which would
// refuse it.
func TestQueuedRequestFollowsItsKey(t *testing.T) {
	old, next := startUpstream(t, slowEcho), startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "keyed", old), newUpstream("u2", "keyed", next))
	g.limitToOneInFlight()
	g.setOwner("u1", 5)
	done := make(chan response)
	go func() { done <- g.get("keyed.example", "r1") }()
	<-old.received
	go func() { done <- g.get("keyed.example", "r2") }()
	time.Sleep(testObjective / 8)
	g.setOwner("u2", 6)
	for range 2 {
		a := <-done
		a.want(t, http.StatusOK, "")
	}
	if n := old.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the old owner, want the one from before", n)
	}
}
