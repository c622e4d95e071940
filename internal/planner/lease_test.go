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

// The planner's host is stopped as planned. Until its successor has renewed
// them, its grants are kept up, but no keys are taken back that it could not
// give to anybody.
func TestResignedPlannerRenewsGrants(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	h.p.Resign()
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
			t.Fatalf("a resigned planner sends %T", a)
		}
	}
	if grants == 0 {
		t.Error("the grants are not renewed")
	}
}

// An append is carried out and its answer lost; sent again it is refused, as
// the stream has moved on. The planner must read the stream then, or every
// later change of ownership would be refused too.
func TestPlannerReadsStreamAfterLostAppendAnswer(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	if !h.p.SoleWriter(h.now) {
		t.Fatal("a calm planner reads what only it writes")
	}
	leaving := *h.upstreams["a"]
	leaving.Leaving = true
	h.upstreams["a"] = &leaving
	h.publishView()
	h.simulate(500*time.Millisecond, func(a Action) error {
		if _, ok := a.(*Append); ok {
			return metastore.ErrNoAnswer
		}
		return nil
	})
	if h.p.SoleWriter(h.now) {
		t.Error("after a lost answer the stream is not read")
	}
	h.p.AdvanceStreamEnd(h.streamEnd + 1)
	if !h.p.SoleWriter(h.now) {
		t.Error("the stream is still read once its end is known")
	}
}

// The seat is lost while grants are under way, and regained with no other planner in
// between. Their results came while the service had no term and were dropped: the
// owners counted as having a grant under way for ever, and their keys could never be
// taken back, nor moved once they had ended.
func TestGrantResultsBetweenTermsAreCounted(t *testing.T) {
	for _, result := range []error{nil, ownership.ErrNotSent, ownership.ErrNoAnswer} {
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
		if !h.p.Retire(simService, h.table.Term+1, h.now) {
			t.Errorf("result %v: a grant still counts as under way", result)
		}
		h.simulate(2*time.Second, succeedAll)
		h.simulateUntilMoved(upstreamADown)
	}
}

// A host with a weak link leaves the seat to others while one of them plans,
// and takes it once none is seen any more.
func TestNonCandidatePlansOnlyWithoutOtherPlanner(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.p.opts.Candidate = false
	for range 50 {
		h.p.PlannerSeen(h.now)
		if got := h.simulate(100*time.Millisecond, succeedAll); len(got) > 0 {
			t.Fatalf("sends %T though another host plans", got[0])
		}
	}
	h.simulate(noPlannerTimeout+5*time.Second, succeedAll)
	if h.table == nil || !owns(h.table, "a") {
		t.Error("nobody plans")
	}
}

// A fleet starts: the strong hosts' first table takes its time while the
// upstreams register. A weak host that sought the seat meanwhile would get it
// and plan for everybody.
func TestNonCandidateWaitsDuringFleetStart(t *testing.T) {
	h := newHarness(t)
	h.p.opts.Candidate = false
	if got := h.simulate(2*noPlannerTimeout, succeedAll); len(got) > 0 {
		t.Fatalf("sends %T though no upstream is there to plan for", got[0])
	}
	h.upstreams["a"] = &catalogue.Upstream{ID: "a", Service: simService, Addr: "a", Slots: 3}
	h.publishView()
	if got := h.simulate(noPlannerTimeout+minRegistrationWait-simStep, succeedAll); len(got) > 0 {
		t.Fatalf("sends %T before a planner could have shown itself", got[0])
	}
	h.simulate(noPlannerTimeout, succeedAll)
	if h.table == nil || !owns(h.table, "a") {
		t.Error("nobody plans")
	}
}

// A weak host has the seat when a strong one is there again: it gives way, but
// only after the other weak hosts have followed it for long enough to seek the
// seat no more. Giving it up at once handed it to the next of them, and on,
// with a term every half a second. If nobody takes it, it plans again.
func TestNonCandidatePlannerStepsDown(t *testing.T) {
	h := newHarness(t, "a")
	h.p.opts.Candidate = false
	for !h.p.HoldsLease(h.now) {
		h.simulate(simStep, succeedAll)
	}
	for acquiredAt := h.now; h.now.Sub(acquiredAt) < 2*testOptions.LeaseTTL; h.simulate(simStep, succeedAll) {
		if h.p.ShouldStepDown(h.now) {
			t.Fatalf("gives way after %v", h.now.Sub(acquiredAt))
		}
	}
	h.simulate(time.Second, succeedAll)
	if !h.p.ShouldStepDown(h.now) {
		t.Fatal("does not give way")
	}
	h.p.StepDown(h.now)
	got := h.simulate(noPlannerTimeout-simStep, succeedAll)
	if len(got) != 1 {
		t.Fatalf("sends %v, want the end of its membership", got)
	}
	if _, ok := got[0].(*ReleaseLease); !ok {
		t.Fatalf("sends %T, want the end of its membership", got[0])
	}
	h.simulate(noPlannerTimeout, succeedAll)
	if !h.p.HoldsLease(h.now) {
		t.Error("nobody plans")
	}
	h.p.opts.Candidate = true
	h.simulate(5*time.Second, succeedAll)
	if h.p.ShouldStepDown(h.now) {
		t.Error("a strong planner gives way")
	}
}

// A weak host sought the seat and did not get it; then it sees the planner. It
// leaves the group: a member that stops its proofs may be dealt the seat until
// its membership lapses, and nobody plans meanwhile.
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
		t.Fatalf("sends %v, want the end of its membership", got)
	}
	if _, ok := got[0].(*ReleaseLease); !ok {
		t.Errorf("sends %T, want the end of its membership", got[0])
	}
}

// A weak host was cut off for ten seconds and saw no planner. When the cut
// ends there is one all along: the host looks for it before it seeks the
// seat, which would take it from the planner.
func TestNonCandidateWaitsForPlannerAfterPartition(t *testing.T) {
	h := newHarness(t, "a")
	h.p.opts.Candidate = false
	h.p.PlannerSeen(h.now)
	h.simulate(10*time.Second, func(Action) error { return metastore.ErrNoAnswer })
	h.p.LogReconnected(h.now)
	for _, a := range h.simulate(noPlannerTimeout/2, succeedAll) {
		if _, ok := a.(*AcquireLease); ok {
			t.Fatal("seeks the seat right after the cut")
		}
	}
}

// The planner's host ends and the group gives its seat to this one, which
// learns of it with its next proof only. The planner's silence makes that
// proof come soon; without it keys would be planned for by nobody the longer.
func TestPlannerLostBringsLeaseRequestForward(t *testing.T) {
	h := newHarness(t, "a")
	h.simulate(simStep, func(Action) error { return metastore.ErrRejected })
	if got := h.simulate(minAcquireInterval+simStep, succeedAll); len(got) > 0 {
		t.Fatalf("sends %T while the planner is well", got[0])
	}
	h.p.PlannerLost()
	h.simulate(simStep, succeedAll)
	if !h.p.HoldsLease(h.now) {
		t.Error("the seat is not sought")
	}
}

// A planner is cut off from the log for five seconds, and another gets its
// seat. The first one reads of it as soon as the cut ends, when its own proof
// of the seat is still younger than the time for which it may renew grants.
// If it took over on that proof, the two would supersede each other and the
// keys of lost upstreams would wait for what either may have sent.
func TestStaleLeaseRenewalStartsNoTerm(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(10*time.Second, succeedAll)
	logDown := func(a Action) error {
		if _, ok := a.(*AcquireLease); ok {
			return metastore.ErrNoAnswer
		}
		return nil
	}
	h.simulate(5*time.Second, logDown)
	h.table = h.tableOfOtherPlanner()
	h.publishView()
	for _, a := range h.simulate(500*time.Millisecond, logDown) {
		if appended, ok := a.(*Append); ok {
			t.Fatalf("records term %d on a proof of the seat from before the other planner's term", appended.Table.Term)
		}
	}
	h.simulate(500*time.Millisecond, succeedAll)
	if h.table.Planner != "me" {
		t.Error("does not take over once the seat is proved again")
	}
}

// A planner's orders are refused because an upstream has seen a later one's
// token. The planner reads the stream that it otherwise need not read, to
// learn who plans; and upstreams that refuse are not lost: if they counted as
// lost, all keys would stand without an owner once it plans again.
func TestFencedGrantsMakePlannerReadStream(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(10*time.Second, succeedAll)
	if !h.p.SoleWriter(h.now) {
		t.Fatal("a planner in peace reads the stream")
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
		t.Error("the stream is not read though another planner's token was seen")
	}
	if lost > 0 {
		t.Errorf("%d upstreams that answer are taken for lost", lost)
	}
}

// The seat's holder writes a record before any key is divided: it shows the
// other hosts whom to follow. The keys are divided once the upstreams had time
// to register; the first one alone must not get them all.
func TestFirstRecordPrecedesFirstAssignment(t *testing.T) {
	h := newHarness(t, "a")
	h.simulate(minRegistrationWait/2, succeedAll)
	if h.table == nil || owns(h.table, "a") {
		t.Fatalf("after half the time to register the table is %+v", h.table)
	}
	h.upstreams["b"] = &catalogue.Upstream{ID: "b", Service: simService, Addr: "b", Slots: 3}
	h.publishView()
	h.simulate(minRegistrationWait, succeedAll)
	if !owns(h.table, "a") || !owns(h.table, "b") || owns(h.table, "") {
		t.Errorf("the keys are not divided among both: %+v", h.table.Ranges)
	}
}

// A large fleet starts: its upstreams register over two seconds. Callers of
// keys that lie with the first few would be refused for want of room while the
// others own nothing, so the division waits until no more come.
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
			t.Errorf("%s owns nothing", id)
		}
	}
}

// Upstreams go on registering without an end. Callers must be served all the
// same: the keys are divided among those that are there after settleMost.
func TestFirstAssignmentWaitIsBounded(t *testing.T) {
	h := newHarness(t)
	for elapsed := time.Duration(0); elapsed < maxRegistrationWait+registrationQuiet; elapsed += registrationQuiet / 2 {
		id := fmt.Sprint("u", elapsed)
		h.upstreams[id] = &catalogue.Upstream{ID: id, Service: simService, Addr: id, Slots: 3}
		h.publishView()
		h.simulate(registrationQuiet/2, succeedAll)
	}
	if h.table == nil || owns(h.table, "") {
		t.Error("the keys are not divided while upstreams still come")
	}
}

// A planner that was cut off from the log is told by an upstream that a
// later planner is at work. It must send no further orders: they would all be
// refused, hundreds a second, until its own view ends.
func TestSupersededPlannerMakesNoCalls(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	logDown := func(a Action) error {
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
			t.Errorf("%v after it was told, the superseded planner sends %T", h.now.Sub(fencedAt), a)
		}
		err := logDown(a)
		if _, ok := a.(*Grant); ok && fencedAt == 0 {
			fencedAt = h.now
		}
		return err
	})
}
