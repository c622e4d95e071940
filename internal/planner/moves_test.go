package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
)

// A host loses the planner lease and regains it while an upstream does not respond. Its
// past term knows when the last grant was sent, so the upstream's keys must move without
// waiting for grants that another planner may have sent. If they waited, they would have
// no owner for 10 s.
func TestRegainedLeaseDoesNotDelayMoves(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	h.simulate(2*time.Second, upstreamAUnresponsive)
	// The lease is lost and regained without another planner in between.
	h.p.dropTerms()
	if took := h.simulateUntilMoved(upstreamAUnresponsive); took > testOptions.GrantTTL+testOptions.GrantTTL/2 {
		t.Errorf("keys moved %v after the start of the second term, want at most 1.5 grant TTLs", took)
	}
}

// A planner marks an upstream as lost and then crashes, more than 10 s into its term.
// The next planner saw the mark, after which no grant was sent to the upstream, so the
// upstream's keys must not wait for as long as the crashed planner might have sent grants.
func TestNextPlannerUsesLostOwnerMark(t *testing.T) {
	h := newHarness(t, "a", "b")
	next := New(testOptions)
	next.opts.Host = "other"
	// The next planner's host follows the log throughout.
	run := func(d time.Duration, respond func(Action) error) {
		for end := h.now.Add(d); h.now.Before(end); {
			h.simulate(simStep, respond)
			next.observeView(h.now, h.publisher.Load())
		}
	}
	run(12*time.Second, succeedAll)
	run(1900*time.Millisecond, upstreamAUnresponsive)
	if !h.table.IsLost("a") || !owns(h.table, "a") {
		t.Fatal("setup: upstream a should be marked as lost and still own keys")
	}
	h.p = next
	next.AdvanceStreamEnd(h.streamEnd)
	if took := h.simulateUntilMoved(upstreamAUnresponsive); took > testOptions.GrantTTL+testOptions.GrantTTL/2 {
		t.Errorf("keys moved %v after the change of planner, want at most 1.5 grant TTLs", took)
	}
}

// The keys of an owner that stops responding must move once its grants are certain to
// have expired, and no later: at least one grant TTL after the last grant that may have
// arrived, and at most 1.5 grant TTLs after the owner's last response.
func TestUnresponsiveOwnersKeysMoveOnceGrantsExpire(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	unresponsiveSince := h.now
	movedAt := bootclock.Time(0)
	h.simulate(10*time.Second, func(a Action) error {
		switch a := a.(type) {
		case *Grant:
			if a.Addr == "a" {
				return ownership.ErrNotSent
			}
		case *Release:
			return ownership.ErrNotSent
		case *Append:
			if movedAt == 0 && !owns(a.Table, "a") {
				movedAt = h.now
			}
		}
		return nil
	})
	if movedAt == 0 {
		t.Fatal("the keys have not moved after 10 s")
	}
	// The last grant that arrived was sent up to a renewal interval earlier.
	waited := movedAt.Sub(unresponsiveSince)
	if minWait := testOptions.GrantTTL - testOptions.GrantTTL/renewalsPerTTL; waited < minWait {
		t.Errorf("keys moved %v after the owner stopped responding, before its grants had expired", waited)
	}
	if maxWait := testOptions.GrantTTL * 3 / 2; waited > maxWait {
		t.Errorf("keys moved %v after the owner stopped responding, want at most 1.5 grant TTLs", waited)
	}
}

// An upstream executes all calls, but its responses get lost for 2 s, so it is considered
// lost. When it responds to a release it must get its keys back: moved elsewhere, they would
// have no owner until all grants that it may have received have expired.
func TestOwnerThatRespondsAgainKeepsItsKeys(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	lossUntil := h.now.Add(2 * time.Second)
	h.simulate(6*time.Second, func(a Action) error {
		if g, ok := a.(*Grant); ok && g.Addr == "a" && h.now.Before(lossUntil) {
			return ownership.ErrNoResponse
		}
		if _, ok := a.(*Release); ok && h.now.Before(lossUntil) {
			return ownership.ErrNoResponse
		}
		return nil
	})
	owned := 0
	for _, r := range h.table.Ranges {
		if r.Owner == "a" {
			owned++
		}
	}
	if owned == 0 {
		t.Fatal("the upstream lost its keys although it responds again")
	}
	for _, a := range h.simulate(time.Second+testOptions.GrantTTL/renewalsPerTTL, succeedAll) {
		if g, ok := a.(*Grant); ok && g.Addr == "a" {
			return
		}
	}
	t.Fatal("the upstream's grants are not renewed after it responded again")
}

// Guards against two owners after a late response to a release. An upstream is considered
// lost and two of its ranges are being released. It responds to one release, so it may keep
// its keys. Later, load requires moves off the upstream, and the response to the other
// release arrives. It must not move a range that the upstream has been granted again.
func TestResponseToEarlierReleaseIsIgnored(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	var releases []*Release
	responsesLost := true
	onGrant := func(*Grant) {}
	step := func(d time.Duration) {
		for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(simStep) {
			for _, a := range h.p.Tick(h.now, h.publisher.Load()) {
				switch a := a.(type) {
				case *Release:
					releases = append(releases, a)
				case *Grant:
					onGrant(a)
					if responsesLost && a.Addr == "a" {
						h.complete(a, ownership.ErrNoResponse)
						continue
					}
					h.complete(a, nil)
				default:
					h.complete(a, nil)
				}
			}
		}
	}
	for len(releases) < 2 {
		step(simStep)
	}
	responsesLost = false
	firstRelease, secondRelease := releases[0], releases[1]
	regranted := false
	onGrant = func(g *Grant) {
		if g.Addr == "a" && g.Range.From <= secondRelease.Range.To && g.Range.To >= secondRelease.Range.From {
			regranted = true
		}
	}
	h.p.ReleaseDone(firstRelease, "token", nil, h.now)
	step(testOptions.GrantTTL + 2*time.Second)
	// The load is now such that keys must move off a.
	byKey := make([]float64, ownership.KeySpaceSize)
	for _, r := range h.table.Ranges {
		if r.Owner == "a" {
			byKey[r.From] = 10
		}
	}
	h.p.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		return ownership.Load{ByKey: byKey, Capacity: slotsByID(owners)}, 1000
	}
	step(500 * time.Millisecond)
	h.p.ReleaseDone(secondRelease, "token", nil, h.now)
	step(100 * time.Millisecond)
	if got := h.table.Find(secondRelease.Range.From).Owner; regranted && got != "a" {
		t.Fatalf("keys %d to %d moved to %q on the response to a release that was sent before they were granted to a again", secondRelease.Range.From, secondRelease.Range.To, got)
	}
}

// Guards against load moves while the log service rejects this host's lease requests:
// it may reject appends as well, and keys released then would have no owner.
func TestNoLoadMovesWithoutRecentLeaseRenewal(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	rejectLeaseRequests := func(a Action) error {
		if _, ok := a.(*AcquireLease); ok {
			return metastore.ErrRejected
		}
		return nil
	}
	h.simulate(time.Second, rejectLeaseRequests)
	byKey := make([]float64, ownership.KeySpaceSize)
	for _, r := range h.table.Ranges {
		if r.Owner == "a" {
			byKey[r.From] = 10
		}
	}
	h.p.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		return ownership.Load{ByKey: byKey, Capacity: slotsByID(owners)}, 1000
	}
	for _, a := range h.simulate(3*time.Second, rejectLeaseRequests) {
		if r, ok := a.(*Release); ok {
			t.Fatalf("keys %d to %d were released", r.Range.From, r.Range.To)
		}
	}
}

// The address of an upstream that ended is reused by an upstream of another service,
// which rejects the release. Owners never reject releases, so the owner must have ended,
// and its keys must move without waiting for its grants to expire.
func TestRejectedReleaseProvesOwnerEnded(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	leaving := *h.upstreams["a"]
	leaving.Leaving = true
	h.upstreams["a"] = &leaving
	h.publishView()
	start := h.now
	h.simulate(time.Second, func(a Action) error {
		if r, ok := a.(*Release); ok && r.Addr == "a" {
			return ownership.ErrRejected
		}
		return nil
	})
	for _, r := range h.table.Ranges {
		if r.Owner == "a" {
			t.Fatalf("keys %d to %d still belong to the ended owner %v later", r.From, r.To, h.now.Sub(start))
		}
	}
}

// The planner changes while an upstream does not respond. If the previous planner confirms that
// it sends no more grants, the upstream's keys must wait for one grant TTL only. A
// confirmation by a host of another name at its address must not count; the keys then
// wait for all grants that the previous planner may send, 9.2 s.
func TestLostOwnersKeysDoNotWaitForRetiredPlanner(t *testing.T) {
	timeUntilMoved := func(respondingHost string) time.Duration {
		h := newHarness(t, "a", "b")
		h.simulate(12*time.Second, succeedAll)
		h.table = h.tableOfOtherPlanner()
		h.streamEnd.Offset++
		h.p = New(testOptions)
		h.p.opts.Host = "me"
		h.p.AdvanceStreamEnd(h.streamEnd)
		h.publishView()
		return h.simulateUntilMoved(func(a Action) error {
			if r, ok := a.(*Retire); ok {
				h.p.RetireDone(r, ownership.Retirement{Host: respondingHost, Retired: true, ProcessAge: time.Hour}, h.now)
			}
			return upstreamAUnresponsive(a)
		})
	}
	if took := timeUntilMoved("other"); took > testOptions.GrantTTL+testOptions.GrantTTL/2 {
		t.Errorf("keys moved %v after the change of planner, want at most 1.5 grant TTLs", took)
	}
	if took := timeUntilMoved("somebody"); took < testOptions.MaxRenewalAge+testOptions.GrantTTL {
		t.Errorf("keys moved %v after the change of planner on the confirmation of another host", took)
	}
}

// When a term starts, the new planner already knows that an upstream is overloaded. The
// upstream takes 0.5 s to respond to grants. Its keys must not be released before it has
// acknowledged the term's token: they would have no owner until all grants of previous
// planners have expired.
func TestNoReleaseBeforeOwnerAcknowledgesTerm(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	h.table = h.tableOfOtherPlanner()
	h.streamEnd.Offset++
	h.p = New(testOptions)
	h.p.opts.Host = "me"
	h.p.AdvanceStreamEnd(h.streamEnd)
	byKey := make([]float64, ownership.KeySpaceSize)
	for _, r := range h.table.Ranges {
		if r.Owner == "a" {
			byKey[r.From] = 5
		}
	}
	h.p.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		return ownership.Load{ByKey: byKey, Capacity: slotsByID(owners)}, 1000
	}
	h.publishView()
	var delayed []*Grant
	released := 0
	for start := h.now; h.now.Sub(start) < 3*time.Second; h.now = h.now.Add(simStep) {
		if h.now.Sub(start) > 500*time.Millisecond {
			for _, g := range delayed {
				h.p.GrantDone(g, nil, h.now)
			}
			delayed = nil
		}
		for _, a := range h.p.Tick(h.now, h.publisher.Load()) {
			switch a := a.(type) {
			case *Grant:
				if a.Addr == "a" {
					delayed = append(delayed, a)
					continue
				}
			case *Release:
				released++
				if h.now.Sub(start) < 500*time.Millisecond {
					t.Fatalf("keys %d to %d are released before any grant was acknowledged", a.Range.From, a.Range.To)
				}
			}
			h.complete(a, nil)
		}
	}
	if released == 0 {
		t.Error("no key was released for load")
	}
}

// A data centre is partitioned for some seconds: its upstream does not respond, and
// its entry lapses, which sets Leaving (see catalogue.Upstream.Unlisted). After the
// partition it responds 0.5 s before it has an entry again. It must keep its keys, because no
// other upstream has been granted them.
func TestOwnerBackFromPartitionKeepsItsKeys(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	// Grants without a response keep the keys at their owner until they expire; the
	// partition ends before that.
	responsesLost := func(a Action) error {
		switch a := a.(type) {
		case *Grant:
			if a.Addr == "a" {
				return ownership.ErrNoResponse
			}
		case *Release:
			return ownership.ErrNoResponse
		}
		return nil
	}
	h.simulate(1800*time.Millisecond, responsesLost)
	leaving := *h.upstreams["a"]
	leaving.Leaving = true
	h.upstreams["a"] = &leaving
	h.publishView()
	h.simulate(900*time.Millisecond, responsesLost)
	h.simulate(500*time.Millisecond, succeedAll)
	returned := leaving
	returned.Leaving = false
	h.upstreams["a"] = &returned
	h.publishView()
	h.simulate(2*time.Second, succeedAll)
	if !owns(h.table, "a") {
		t.Error("upstream a lost its keys")
	}
	if remaining := h.p.terms[simService].moves; len(remaining) != 0 {
		t.Errorf("%d moves are still in progress", len(remaining))
	}
}
