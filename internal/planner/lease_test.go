package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
)

// A planner whose host is being shut down must go on renewing its grants until the next
// planner does. It must not release keys, because it could not assign them to another owner.
func TestPlannerRenewsGrantsDuringShutdown(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	h.p.BeginShutdown()
	leaving := *h.upstreams["a"]
	leaving.Leaving = true
	h.upstreams["a"] = &leaving
	h.publishView()
	grants := 0
	for _, a := range h.simulate(2*testOptions.GrantTTL/renewalsPerTTL, succeedAll) {
		switch a.(type) {
		case *Grant:
			grants++
		case *AcquireLease, *Release, *Append:
			t.Fatalf("a planner whose host shuts down made a call of type %T", a)
		}
	}
	if grants == 0 {
		t.Error("a planner whose host shuts down does not renew its grants")
	}
}

// An append is executed but its response is lost, so the retry fails because the stream
// no longer ends at the expected offset. The planner must then read the stream, or every
// later append would fail too.
func TestPlannerReadsStreamAfterLostAppendResponse(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	if !h.p.SoleWriter(h.now) {
		t.Fatal("a planner without failed calls is not the sole writer")
	}
	leaving := *h.upstreams["a"]
	leaving.Leaving = true
	h.upstreams["a"] = &leaving
	h.publishView()
	h.simulate(500*time.Millisecond, func(a Action) error {
		if _, ok := a.(*Append); ok {
			return metastore.ErrNoResponse
		}
		return nil
	})
	if h.p.SoleWriter(h.now) {
		t.Error("the planner still relies on being the sole writer after a lost response")
	}
	h.p.AdvanceStreamEnd(metastore.Position{Offset: h.streamEnd.Offset + 1})
	if !h.p.SoleWriter(h.now) {
		t.Error("the planner is not the sole writer again once the end of the stream is known")
	}
}

// The lease is lost while grants are in flight and regained without another planner in
// between. Their results arrive while the service has no term and must be counted all the
// same. If they were dropped, their owners would count as having a grant in flight
// forever, and their keys could neither be released nor moved once the owner had ended.
func TestGrantResultsBetweenTermsAreCounted(t *testing.T) {
	for _, result := range []error{nil, ownership.ErrNotSent, ownership.ErrNoResponse} {
		h := newHarness(t, "a", "b")
		h.simulate(3*time.Second, succeedAll)
		var inFlight []*Grant
		for len(inFlight) == 0 {
			for _, a := range h.p.Tick(h.now, h.publisher.Load()) {
				if g, ok := a.(*Grant); ok && g.Addr == "a" {
					inFlight = append(inFlight, g)
					continue
				}
				h.complete(a, nil)
			}
			h.now = h.now.Add(simStep)
		}
		h.p.AcquireLeaseDone(&AcquireLease{SentAt: h.now}, false, nil, h.now)
		for _, g := range inFlight {
			h.p.GrantDone(g, result, h.now)
		}
		if retired, _ := h.p.Retire(simService, h.table.Term+1, h.now); !retired {
			t.Errorf("result %v: a completed grant still counts as in flight", result)
		}
		h.simulate(2*time.Second, succeedAll)
		h.simulateUntilMoved(upstreamAUnresponsive)
	}
}

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

// After a crash of the planner's host the election assigns the lease to this host, which
// learns that only from its next lease request. PlannerLost must bring that request
// forward; until then there is no planner.
func TestPlannerLostBringsLeaseRequestForward(t *testing.T) {
	h := newHarness(t, "a")
	h.simulate(simStep, func(Action) error { return metastore.ErrRejected })
	if got := h.simulate(minAcquireInterval+simStep, succeedAll); len(got) > 0 {
		t.Fatalf("made a call of type %T before the planner was lost", got[0])
	}
	h.p.PlannerLost()
	h.simulate(simStep, succeedAll)
	if !h.p.IsPlanner(h.now) {
		t.Error("the lease was not requested and acquired after the planner was lost")
	}
}

// A planner is partitioned from the log for 5 s and another host replaces it. When the
// first one reads the new table, its last lease renewal is still younger than MaxRenewalAge.
// It must not start a term on that renewal: the two planners would supersede each other,
// and the keys of lost upstreams would wait for the grants of both to expire.
func TestStaleLeaseRenewalStartsNoTerm(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(10*time.Second, succeedAll)
	loseLeaseResponses := func(a Action) error {
		if _, ok := a.(*AcquireLease); ok {
			return metastore.ErrNoResponse
		}
		return nil
	}
	h.simulate(5*time.Second, loseLeaseResponses)
	h.table = h.tableOfOtherPlanner()
	h.publishView()
	for _, a := range h.simulate(500*time.Millisecond, loseLeaseResponses) {
		if appended, ok := a.(*Append); ok {
			t.Fatalf("appends term %d on a lease renewal from before the other planner's term", appended.Table.Term)
		}
	}
	h.simulate(500*time.Millisecond, succeedAll)
	if h.table.Planner != "me" {
		t.Error("does not take over after the lease has been renewed")
	}
}

// Upstreams reject a planner's grants because they have seen the token of a newer
// planner. The planner must read the stream, which it otherwise need not, to find that
// planner. The upstreams must not count as lost: no key would have an owner once the
// host plans again.
func TestFencedGrantsMakePlannerReadStream(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(10*time.Second, succeedAll)
	if !h.p.SoleWriter(h.now) {
		t.Fatal("a planner without fenced grants is not the sole writer")
	}
	lost := 0
	h.p.OnEvent = func(e Event) {
		if e.Kind == UpstreamLost {
			lost++
		}
	}
	h.simulate(4*time.Second, func(a Action) error {
		if _, ok := a.(*Grant); ok {
			return ownership.ErrFenced
		}
		return nil
	})
	if h.p.SoleWriter(h.now) {
		t.Error("the planner still relies on being the sole writer although grants were fenced")
	}
	if lost > 0 {
		t.Errorf("%d upstreams that responded are considered lost", lost)
	}
}

// The planner must write a record before it assigns any key: the record shows the other
// hosts which planner to follow. Keys must be assigned only after the upstreams had time
// to register, or the first one would get them all.
func TestFirstRecordPrecedesFirstAssignment(t *testing.T) {
	h := newHarness(t, "a")
	h.simulate(minRegistrationWait/2, succeedAll)
	if h.table == nil || owns(h.table, "a") {
		t.Fatalf("want a table without owners after half of minRegistrationWait, got %+v", h.table)
	}
	h.upstreams["b"] = &catalogue.Upstream{ID: "b", Service: simService, Addr: "b", Slots: 3}
	h.publishView()
	h.simulate(minRegistrationWait, succeedAll)
	if !owns(h.table, "a") || !owns(h.table, "b") || owns(h.table, "") {
		t.Errorf("the keys are not assigned to both upstreams: %+v", h.table.Ranges)
	}
}

// The upstreams of a large fleet register over 2 s. The first assignment must wait until
// no more register. Otherwise the first few would get all keys and, for lack of capacity,
// requests for these would be refused while the other upstreams own nothing.
func TestFirstAssignmentWaitsForLargeFleetToRegister(t *testing.T) {
	h := newHarness(t)
	h.simulate(registrationQuiet, succeedAll)
	const count = 20
	for i := range count {
		id := fmt.Sprintf("u%02d", i)
		h.upstreams[id] = &catalogue.Upstream{ID: id, Service: simService, Addr: id, Slots: 3}
		h.publishView()
		h.simulate(100*time.Millisecond, succeedAll)
	}
	h.simulate(minRegistrationWait, succeedAll)
	for id := range h.upstreams {
		if !owns(h.table, id) {
			t.Errorf("%s owns no keys", id)
		}
	}
}

// Upstreams that keep registering must not delay the first assignment forever: after
// maxRegistrationWait the keys are assigned to those that have registered.
func TestFirstAssignmentWaitIsBounded(t *testing.T) {
	h := newHarness(t)
	for elapsed := time.Duration(0); elapsed < maxRegistrationWait+registrationQuiet; elapsed += registrationQuiet / 2 {
		id := fmt.Sprint("u", elapsed)
		h.upstreams[id] = &catalogue.Upstream{ID: id, Service: simService, Addr: id, Slots: 3}
		h.publishView()
		h.simulate(registrationQuiet/2, succeedAll)
	}
	if h.table == nil || owns(h.table, "") {
		t.Error("the keys are not assigned while upstreams keep registering")
	}
}

// A planner that is partitioned from the log learns from a fenced grant that there is a
// newer planner. It must make no further calls to upstreams: they would all be rejected,
// hundreds per second, until its last lease renewal is older than MaxRenewalAge.
func TestSupersededPlannerMakesNoCalls(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	respond := func(a Action) error {
		switch a.(type) {
		case *AcquireLease:
			return metastore.ErrRejected
		case *Grant:
			return ownership.ErrFenced
		}
		return nil
	}
	fencedAt := bootclock.Time(0)
	h.simulate(2*time.Second, func(a Action) error {
		if _, ok := a.(*AcquireLease); !ok && fencedAt != 0 && fencedAt != h.now {
			t.Errorf("%v after a grant was fenced, the superseded planner made a call of type %T", h.now.Sub(fencedAt), a)
		}
		err := respond(a)
		if _, ok := a.(*Grant); ok && fencedAt == 0 {
			fencedAt = h.now
		}
		return err
	})
}

// Guards against an acknowledgement of a token of the lost history that counts for the new term: a
// planner whose records are lost may have given the owner a higher token, and may still grant it
// the keys after they have moved.
func TestLateAcknowledgementOfALostEraDoesNotCount(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.p.ObserveEra(7, h.now)
	h.streamEnd.Era = 7
	h.p.AdvanceStreamEnd(h.streamEnd)
	h.simulate(5*time.Second, succeedAll)
	old := h.p.terms[simService].activeGrants
	var late *Grant
	for _, s := range sortedKeys(old) {
		late = &Grant{Service: simService, Range: old[s].rng, server: h.p.terms[simService].server(old[s].rng.Owner)}
		break
	}
	h.p.ObserveEra(8, h.now)
	h.streamEnd.Era = 8
	h.p.AdvanceStreamEnd(h.streamEnd)
	h.simulate(time.Second, func(a Action) error {
		if g, ok := a.(*Grant); ok && g.closing == nil {
			return ownership.ErrNotSent // no token of the new era is acknowledged
		}
		return nil
	})
	next := h.p.terms[simService]
	if next == nil || !next.started || !next.logReturned {
		t.Fatal("setup: no term of the new era has started")
	}
	late.server.grantsInFlight++
	h.p.GrantDone(late, nil, h.now)
	if next.server(late.Range.Owner).acknowledgedTerm(span{late.Range.From, late.Range.To}) {
		t.Error("an acknowledgement of a token of the lost era counts for the new term")
	}
}
