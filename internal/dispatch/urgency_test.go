package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/view"
)

// compete makes the service plain competing: charge.example has priority 1, read.example
// priority 2 and a longer objective.
func (h *harness) compete() {
	route := func(host string, priority int, objective time.Duration) *desired.Route {
		return &desired.Route{Name: host, Host: host, Prefix: "/", Timeout: 5 * time.Second, LatencyObjective: objective, Priority: priority,
			MaxAttempts: 2, Shares: []desired.Share{{Service: "plain", Weight: 1}}}
	}
	routes := []*desired.Route{route("charge.example", 1, testObjective), route("read.example", 2, 8*testObjective)}
	services := map[string]*desired.Service{"plain": {Name: "plain"}}
	h.views.Publish(func(v *view.View) { v.Desired = desired.New(8, routes, services, desired.Limits{}) })
}

// class returns the class of a competing route of compete.
func (h *harness) class(host string) desired.Class {
	return h.views.Load().Desired.Match(host, "/").ClassFor("plain")
}

// The mean latency of the upstream's responses exceeds the objective of the urgent class,
// because the other class takes long, but nothing queues there. Urgent requests must be sent.
// Once requests queue there for longer than the objective, they must be refused at once.
func TestUrgentRequestIsJudgedByItsOwnClass(t *testing.T) {
	f := startUpstream(t, echo)
	u := newUpstream("u1", "plain", f)
	h := newHarness(t, u)
	h.compete()
	now := time.Now()
	for range 50 {
		h.d.picker.RecordLatency(u, h.class("charge.example"), testObjective/8, 0, now)
		h.d.picker.RecordLatency(u, h.class("read.example"), 4*testObjective, 0, now)
	}
	load := balance.PeerLoad{ID: "u1", InFlight: 1, WorkTime: 2 * testObjective}
	h.d.picker.SetPeerLoads([]balance.PeerLoad{load}, time.Now())
	h.post("charge.example", "r1").want(t, http.StatusOK, "")
	load.InFlight = 6
	h.d.picker.SetPeerLoads([]balance.PeerLoad{load}, time.Now())
	start := time.Now()
	h.post("charge.example", "r2").want(t, http.StatusServiceUnavailable, "")
	if took := time.Since(start); took > testObjective/4 {
		t.Errorf("refused only after %v", took)
	}
	h.post("read.example", "r3").want(t, http.StatusOK, "")
}
