package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/view"
)

// harness drives a single Planner and completes its calls.
type harness struct {
	t         *testing.T
	p         *Planner
	now       bootclock.Time
	upstreams map[string]*catalogue.Upstream
	table     *ownership.Table
	publisher *view.Publisher
	streamEnd metastore.Position
	// warmUp is how long requests for keys are slow after a move without a handover.
	warmUp time.Duration
}

// newHarness returns a harness with the given upstreams in the view.
func newHarness(t *testing.T, ids ...string) *harness {
	h := &harness{t: t, p: New(testOptions), now: bootclock.Time(time.Hour), upstreams: map[string]*catalogue.Upstream{}, publisher: view.NewPublisher()}
	h.p.opts.Host = "me"
	for _, id := range ids {
		h.upstreams[id] = &catalogue.Upstream{ID: id, Service: simService, Addr: id, Slots: 3}
	}
	h.publishView()
	return h
}

// publishView publishes the harness's upstreams and table to the Planner's view.
func (h *harness) publishView() {
	h.publisher.Publish(func(v *view.View) {
		v.Desired = desired.New(1, nil, map[string]*desired.Service{simService: {Name: simService, Keyed: true, KeyWarmUp: h.warmUp}}, desired.Limits{})
		v.Upstreams = catalogue.NewSnapshot(h.upstreams)
		if h.table != nil {
			v.Tables = map[string]*ownership.Table{simService: h.table}
		}
	})
}

// simulate ticks the Planner for d, completes each call with the error that respond
// returns for it, and returns the calls.
func (h *harness) simulate(d time.Duration, respond func(Action) error) []Action {
	var all []Action
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(simStep) {
		for _, a := range h.p.Tick(h.now, h.publisher.Load()) {
			all = append(all, a)
			h.complete(a, respond(a))
		}
	}
	return all
}

// complete passes the result of a call to the Planner. Lease requests that succeed
// get the lease; Retire calls get no response.
func (h *harness) complete(a Action, err error) {
	switch a := a.(type) {
	case *AcquireLease:
		h.p.AcquireLeaseDone(a, true, err, h.now)
	case *Append:
		if err == nil {
			h.streamEnd.Offset++
			h.table = a.Table
		}
		h.p.AppendDone(a, h.streamEnd, err, h.now)
		h.publishView()
	case *Grant:
		h.p.GrantDone(a, err, h.now)
	case *Release:
		h.p.ReleaseDone(a, "token", err, h.now)
	}
}

func succeedAll(Action) error { return nil }

// owns reports whether the owner owns any key in the table.
func owns(t *ownership.Table, owner string) bool {
	for _, r := range t.Ranges {
		if r.Owner == owner {
			return true
		}
	}
	return false
}

// simulateUntilMoved simulates until upstream a owns no key and returns how long that took.
func (h *harness) simulateUntilMoved(respond func(Action) error) time.Duration {
	h.t.Helper()
	start := h.now
	for owns(h.table, "a") {
		if h.now.Sub(start) > 30*time.Second {
			h.t.Fatal("upstream a still owns keys after 30 s")
		}
		h.simulate(simStep, respond)
	}
	return h.now.Sub(start)
}

// upstreamAUnresponsive fails the grants to upstream a and all releases.
func upstreamAUnresponsive(a Action) error {
	switch a := a.(type) {
	case *Grant:
		if a.Addr == "a" {
			return ownership.ErrNotSent
		}
	case *Release:
		return ownership.ErrNotSent
	}
	return nil
}

// tableOfOtherPlanner returns the first record of a next term of another host.
func (h *harness) tableOfOtherPlanner() *ownership.Table {
	return h.table.TakeOver("other", "other:1", 0)
}
