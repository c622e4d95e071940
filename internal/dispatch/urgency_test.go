package dispatch

import (
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/view"
)

// compete makes the service plain competing.
func (h *harness) compete() { h.competeFor("plain") }

// competeFor makes the service competing: charge.example has priority 1, read.example
// priority 2 and a longer objective.
func (h *harness) competeFor(service string) {
	route := func(host string, priority int, objective time.Duration) *desired.Route {
		return &desired.Route{Name: host, Host: host, Prefix: "/", Timeout: 5 * time.Second, LatencyObjective: objective, Priority: priority,
			MaxAttempts: 2, Shares: []desired.Share{{Service: service, Weight: 1}}}
	}
	routes := []*desired.Route{route("charge.example", 1, testObjective), route("read.example", 2, 8*testObjective)}
	services := map[string]*desired.Service{service: {Name: service, Keyed: service == "keyed"}}
	h.views.Publish(func(v *view.View) { v.Desired = desired.New(8, routes, services, desired.Limits{}) })
	h.contend()
}

// contend makes all classes of the competing services frequent.
func (h *harness) contend() {
	state := h.views.Load().Desired
	for service := range state.Services {
		for _, class := range state.Classes(service) {
			for range 1000 {
				h.d.schedulers.contended(class, time.Now())
			}
		}
	}
}

// class returns the class of a competing route of compete.
func (h *harness) class(host string) desired.Class {
	return h.views.Load().Desired.Match(host, "/").ClassFor("plain")
}

// Guards against urgent requests refused because another class takes long though nothing queues, and
// against urgent ones sent, or less urgent ones not held, once the queue exceeds the objective.
func TestUrgentRequestIsJudgedByItsOwnClass(t *testing.T) {
	f := startUpstream(t, echo)
	u := newUpstream("u1", "plain", f)
	h := newHarness(t, u)
	h.compete()
	start := time.Now().Add(-5 * time.Second)
	h.d.picker.SetClassWork(h.class("charge.example"), testObjective/8)
	h.d.picker.SetClassWork(h.class("read.example"), 4*testObjective)
	for i := range 50 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for host, took := range map[string]time.Duration{"charge.example": testObjective / 8, "read.example": 4 * testObjective} {
			h.d.picker.FinishSend(h.d.picker.StartSend(u, h.class(host), now), balance.Served, took, feedback.Load{}, now)
		}
	}
	load := balance.PeerLoad{ID: "u1", InFlight: 1, WorkTime: 2 * testObjective}
	h.d.picker.SetPeerLoads([]balance.PeerLoad{load}, time.Now())
	h.post("charge.example", "r1").want(t, http.StatusOK, "")
	load.InFlight = 4
	h.d.picker.SetPeerLoads([]balance.PeerLoad{load}, time.Now())
	start = time.Now()
	h.post("charge.example", "r2").want(t, http.StatusServiceUnavailable, "")
	if took := time.Since(start); took > testObjective/4 {
		t.Errorf("refused only after %v", took)
	}
	held := make(chan response)
	go func() { held <- h.post("read.example", "r3") }()
	time.Sleep(testObjective / 8)
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the upstream, want 1: the less urgent one would delay urgent ones", n)
	}
	load.InFlight = 0
	h.d.picker.SetPeerLoads([]balance.PeerLoad{load}, time.Now())
	resp := <-held
	resp.want(t, http.StatusOK, "")
}

// One of two upstreams has no room for longer than the objective. A request that finds no room
// must not be bound to it: it must run at whichever upstream has room first.
func TestQueuedRequestRunsWhereThereIsRoomFirst(t *testing.T) {
	block := make(chan struct{})
	stuck := startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, number int64) bool {
		<-block
		return echo(w, c, r, number)
	})
	quick := startUpstream(t, slowEcho)
	h := newHarness(t, newUpstream("u1", "plain", stuck), newUpstream("u2", "plain", quick))
	defer close(block)
	h.compete()
	h.limitToOneInFlight()
	done := make(chan response, 2)
	for len(stuck.received) == 0 || len(quick.received) == 0 {
		go func() { _ = h.get("read.example", "r1") }()
		time.Sleep(5 * time.Millisecond)
	}
	go func() { done <- h.post("charge.example", "r2") }()
	resp := <-done
	resp.want(t, http.StatusOK, "")
}

// While the owner of a key is busy, a less urgent request for it waits. An urgent one that
// arrives later must be sent first.
func TestUrgentRequestGoesFirstAtTheOwner(t *testing.T) {
	release := make(chan struct{})
	owner := startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, number int64) bool {
		if number == 1 {
			<-release
		}
		return echo(w, c, r, number)
	})
	h := newHarness(t, newUpstream("u1", "keyed", owner))
	h.competeFor("keyed")
	h.limitToOneInFlight()
	h.setOwner("u1", 5)
	done := make(chan response)
	for i, r := range []struct{ host, id string }{{"charge.example", "r1"}, {"read.example", "r2"}, {"charge.example", "r3"}} {
		go func() { done <- h.get(r.host, r.id) }()
		for s := h.d.picker.Limiter("u1").State(); s.InFlight+s.Waiting <= i; s = h.d.picker.Limiter("u1").State() {
			time.Sleep(time.Millisecond)
		}
	}
	close(release)
	var order []string
	for range 3 {
		resp := <-done
		resp.want(t, http.StatusOK, "")
		order = append(order, (<-owner.received).Header.Get("X-Id"))
	}
	if want := []string{"r1", "r3", "r2"}; !slices.Equal(order, want) {
		t.Errorf("requests reached the owner in the order %v, want %v", order, want)
	}
}
