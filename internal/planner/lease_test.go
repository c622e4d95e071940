package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
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

// A host that starts during an outage of the log service acquires the lease with its first
// call that succeeds, before it has read the ownership stream. If it then counted as the sole
// writer, it would never read the stream, could not start a term, and would keep the lease.
func TestPlannerThatHasNotReadTheStreamReadsIt(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.p.ObserveEra(3, h.now)
	h.simulate(time.Second, succeedAll)
	if !h.p.IsPlanner(h.now) || h.p.SoleWriter(h.now) {
		t.Fatal("a planner that has not read the ownership stream does not read it")
	}
	h.streamEnd = metastore.Position{Era: 3, Offset: 7}
	h.p.AdvanceStreamEnd(h.streamEnd)
	h.simulate(3*time.Second, succeedAll)
	if h.table == nil || !h.p.SoleWriter(h.now) {
		t.Error("the planner has not started a term after reading the ownership stream")
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
		if !h.p.Retire(simService, h.table.Term+1, h.now).Retired {
			t.Errorf("result %v: a completed grant still counts as in flight", result)
		}
		h.simulate(2*time.Second, succeedAll)
		h.simulateUntilMoved(upstreamAUnresponsive)
	}
}

// After a crash of the planner's host the election assigns the lease to this host, which
// learns that only from its next lease request. LeaseMayMove must bring that request
// forward; until then there is no planner.
func TestLeaseMayMoveBringsLeaseRequestForward(t *testing.T) {
	h := newHarness(t, "a")
	h.simulate(simStep, func(Action) error { return metastore.ErrRejected })
	if got := h.simulate(minAcquireInterval+simStep, succeedAll); len(got) > 0 {
		t.Fatalf("made a call of type %T before the planner was lost", got[0])
	}
	h.p.LeaseMayMove()
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
	if next.server(late.Range.Owner).acknowledgedTerm(span{late.Range.From, late.Range.To}, 0) {
		t.Error("an acknowledgement of a token of the lost era counts for the new term")
	}
}
