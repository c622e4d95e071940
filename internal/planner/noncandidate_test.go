package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/metastore"
)

// A host that is not a candidate must not request the lease while another host is the
// planner, and must acquire it once it sees no planner any more.
func TestNonCandidatePlansOnlyWithoutOtherPlanner(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.p.opts.Candidate = false
	for range 50 {
		h.p.PlannerSeen(h.now)
		if got := h.simulate(100*time.Millisecond, succeedAll); len(got) > 0 {
			t.Fatalf("a non-candidate made a call of type %T although another host is the planner", got[0])
		}
	}
	h.simulate(noPlannerTimeout+5*time.Second, succeedAll)
	if h.table == nil || !owns(h.table, "a") {
		t.Error("no host is the planner")
	}
}

// A network partition separates non-candidates from the log service and from the planner for
// longer than noPlannerTimeout. If they requested the lease meanwhile, the requests that succeed
// first at the end of the partition would all join the election and replace the planner.
func TestNonCandidateWaitsAfterAPartition(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.p.opts.Candidate = false
	h.p.ObserveLog(false)
	if got := h.simulate(2*noPlannerTimeout, succeedAll); len(got) > 0 {
		t.Fatalf("a non-candidate that cannot read the log made a call of type %T", got[0])
	}
	h.p.ObserveLog(true)
	h.p.LogReconnected(h.now)
	if got := h.simulate(noPlannerTimeout-simStep, succeedAll); len(got) > 0 {
		t.Fatalf("a non-candidate made a call of type %T before it could have found the planner", got[0])
	}
	h.simulate(noPlannerTimeout, succeedAll)
	if !h.p.IsPlanner(h.now) {
		t.Error("no host is the planner")
	}
}

// When a fleet starts, there is no table until a candidate has acquired the lease and
// written its first record. plannerExpected allows for that until minRegistrationWait
// after the first upstream was listed. A non-candidate must not request the lease
// meanwhile: it would get it and plan for the whole fleet.
func TestNonCandidateWaitsDuringFleetStart(t *testing.T) {
	h := newHarness(t)
	h.p.opts.Candidate = false
	if got := h.simulate(2*noPlannerTimeout, succeedAll); len(got) > 0 {
		t.Fatalf("a non-candidate made a call of type %T although no upstream is listed", got[0])
	}
	h.upstreams["a"] = &catalogue.Upstream{ID: "a", Service: simService, Addr: "a", Slots: 3}
	h.publishView()
	if got := h.simulate(noPlannerTimeout+minRegistrationWait-simStep, succeedAll); len(got) > 0 {
		t.Fatalf("a non-candidate made a call of type %T before a planner could have published a table", got[0])
	}
	h.simulate(noPlannerTimeout, succeedAll)
	if h.table == nil || !owns(h.table, "a") {
		t.Error("no host is the planner")
	}
}

// A non-candidate that is the planner must step down, but only after the memberships of
// the other non-candidates have lapsed. Stepping down at once would pass the lease from
// one of them to the next, with a new term every 0.5 s. If no host takes the lease over, the
// non-candidate must acquire it again.
func TestNonCandidatePlannerStepsDown(t *testing.T) {
	h := newHarness(t, "a")
	h.p.opts.Candidate = false
	for !h.p.IsPlanner(h.now) {
		h.simulate(simStep, succeedAll)
	}
	for acquiredAt := h.now; h.now.Sub(acquiredAt) < 2*testOptions.LeaseTTL; h.simulate(simStep, succeedAll) {
		if h.p.ShouldStepDown(h.now) {
			t.Fatalf("the planner steps down after only %v", h.now.Sub(acquiredAt))
		}
	}
	h.simulate(time.Second, succeedAll)
	if !h.p.ShouldStepDown(h.now) {
		t.Fatal("a non-candidate planner does not step down")
	}
	h.p.StepDown(h.now)
	got := h.simulate(noPlannerTimeout-simStep, succeedAll)
	if len(got) != 1 {
		t.Fatalf("calls %v, want one LeaveElection", got)
	}
	if _, ok := got[0].(*LeaveElection); !ok {
		t.Fatalf("call of type %T, want a LeaveElection", got[0])
	}
	h.simulate(noPlannerTimeout, succeedAll)
	if !h.p.IsPlanner(h.now) {
		t.Error("no host is the planner")
	}
	h.p.opts.Candidate = true
	h.simulate(5*time.Second, succeedAll)
	if h.p.ShouldStepDown(h.now) {
		t.Error("a candidate steps down")
	}
}

// A non-candidate that requested the lease without success and then sees the planner
// must leave the election. A member that merely stops its requests can be assigned the
// lease until its membership lapses, which leaves the fleet without a planner.
func TestNonCandidateLeavesElectionOncePlannerIsSeen(t *testing.T) {
	h := newHarness(t, "a")
	h.p.opts.Candidate = false
	requested := false
	for !requested {
		for _, a := range h.p.Tick(h.now, h.publisher.Load()) {
			if acquire, ok := a.(*AcquireLease); ok {
				requested = true
				h.p.AcquireLeaseDone(acquire, false, nil, h.now)
			}
		}
		h.now = h.now.Add(simStep)
	}
	h.p.PlannerSeen(h.now)
	got := h.simulate(noPlannerTimeout/2, succeedAll)
	if len(got) != 1 {
		t.Fatalf("calls %v, want one LeaveElection", got)
	}
	if _, ok := got[0].(*LeaveElection); !ok {
		t.Errorf("call of type %T, want a LeaveElection", got[0])
	}
}

// A non-candidate that was partitioned for 10 s has seen no planner meanwhile, although
// there may be one. After the partition it must wait for the planner before it requests
// the lease, because the request could take the lease from the planner.
func TestNonCandidateWaitsForPlannerAfterPartition(t *testing.T) {
	h := newHarness(t, "a")
	h.p.opts.Candidate = false
	h.p.PlannerSeen(h.now)
	h.simulate(10*time.Second, func(Action) error { return metastore.ErrNoResponse })
	h.p.LogReconnected(h.now)
	for _, a := range h.simulate(noPlannerTimeout/2, succeedAll) {
		if _, ok := a.(*AcquireLease); ok {
			t.Fatal("requests the lease right after the partition")
		}
	}
}
