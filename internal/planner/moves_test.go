package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
)

// The seat goes to another host and back while an upstream is dead. This
// host's own term before knows when its last grant was sent; the dead
// upstream's keys must not wait again for what an earlier planner may have
// sent, ten seconds in which nobody serves them.
func TestOwnPastTermGivesExactGrantBounds(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	h.simulate(2*time.Second, upstreamADown)
	// The seat is lost and won back without another planner in between.
	h.p.dropTerms()
	if took := h.simulateUntilMoved(upstreamADown); took > testOptions.GrantTTL+testOptions.GrantTTL/2 {
		t.Errorf("moved only %v after the second term began", took)
	}
}

// A planner marks a dead upstream as lost and is killed ten seconds into its
// term. Its successor saw the mark: nothing was sent to that upstream since,
// and its keys need not wait for the whole time that a planner may send.
func TestNextPlannerUsesLostOwnerMark(t *testing.T) {
	h := newHarness(t, "a", "b")
	next := New(testOptions)
	next.opts.Host = "other"
	// The other host follows the log all the while.
	run := func(d time.Duration, answer func(Action) error) {
		for end := h.now.Add(d); h.now.Before(end); {
			h.simulate(simStep, answer)
			next.observeView(h.now, h.publisher.Load())
		}
	}
	run(12*time.Second, succeedAll)
	run(1900*time.Millisecond, upstreamADown)
	if !h.table.IsLost("a") || !owns(h.table, "a") {
		t.Fatal("the play is wrong: a should be marked and still own keys")
	}
	h.p = next
	next.AdvanceStreamEnd(h.streamEnd)
	if took := h.simulateUntilMoved(upstreamADown); took > testOptions.GrantTTL+testOptions.GrantTTL/2 {
		t.Errorf("moved only %v after the successor took over", took)
	}
}

// A caller whose key's owner goes silent waits until its lease has surely
// run out, and no longer: the upstream stops answering, its grants stop being
// renewed, and the record that gives its keys away comes between one lease
// and a lease and a half later.
func TestSilentOwnersKeysMoveOnceGrantsExpire(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	silentSince := h.now
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
		t.Fatal("the keys never moved")
	}
	// The last grant that arrived was sent up to a renewal before.
	waited := movedAt.Sub(silentSince)
	if minWait := testOptions.GrantTTL - testOptions.GrantTTL/renewalsPerTTL; waited < minWait {
		t.Errorf("moved %v after the owner went silent, within its lease", waited)
	}
	if maxWait := testOptions.GrantTTL * 3 / 2; waited > maxWait {
		t.Errorf("moved only %v after the owner went silent", waited)
	}
}

// An upstream runs all it is told but its answers get lost for two seconds.
// It is taken for lost; when it answers a release it gets its keys back
// rather than leaving them without an owner until every lease that anyone may
// have given it has run out.
func TestOwnerThatAnswersAgainKeepsItsKeys(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	lossUntil := h.now.Add(2 * time.Second)
	h.simulate(6*time.Second, func(a Action) error {
		if g, ok := a.(*Grant); ok && g.Addr == "a" && h.now.Before(lossUntil) {
			return ownership.ErrNoAnswer
		}
		if _, ok := a.(*Release); ok && h.now.Before(lossUntil) {
			return ownership.ErrNoAnswer
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
		t.Fatal("the upstream lost its keys though it answers")
	}
	for _, a := range h.simulate(time.Second+testOptions.GrantTTL/renewalsPerTTL, succeedAll) {
		if g, ok := a.(*Grant); ok && g.Addr == "a" {
			return
		}
	}
	t.Fatal("the upstream's grants are not renewed")
}

// An upstream is taken for lost and two of its ranges are being taken back.
// One release is answered, so it gets its keys back, the other range too.
// Later that range is to move for load. The answer to the first play's
// release must not count for the second one's: the upstream has been granted
// the range since, and its callers would have two owners.
func TestAnswerToCancelledReleaseIsIgnored(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	var releases []*Release
	answersLost := true
	onGrant := func(*Grant) {}
	step := func(d time.Duration) {
		for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(simStep) {
			for _, a := range h.p.Tick(h.now, h.publisher.Load()) {
				switch a := a.(type) {
				case *Release:
					releases = append(releases, a)
				case *Grant:
					onGrant(a)
					if answersLost && a.Addr == "a" {
						h.complete(a, ownership.ErrNoAnswer)
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
	answersLost = false
	cancelling, cancelled := releases[0], releases[1]
	regranted := false
	onGrant = func(g *Grant) {
		if g.Addr == "a" && g.Range.From <= cancelled.Range.To && g.Range.To >= cancelled.Range.From {
			regranted = true
		}
	}
	h.p.ReleaseDone(cancelling, "token", nil, h.now)
	step(testOptions.GrantTTL + 2*time.Second)
	// The load now asks for the second range to leave a.
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
	h.p.ReleaseDone(cancelled, "token", nil, h.now)
	step(100 * time.Millisecond)
	if got := h.table.Find(cancelled.Range.From).Owner; regranted && got != "a" {
		t.Fatalf("keys %d to %d went to %q on the answer to a release sent before a was granted them again", cancelled.Range.From, cancelled.Range.To, got)
	}
}

// The log service refuses this host while keys would move for load. Keys
// taken back now could not be given to anybody, so none may be.
func TestNoLoadMovesWithoutRecentLeaseRenewal(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	logDown := func(a Action) error {
		if _, ok := a.(*AcquireLease); ok {
			return metastore.ErrRejected
		}
		return nil
	}
	h.simulate(time.Second, logDown)
	byKey := make([]float64, ownership.KeySpaceSize)
	for _, r := range h.table.Ranges {
		if r.Owner == "a" {
			byKey[r.From] = 10
		}
	}
	h.p.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		return ownership.Load{ByKey: byKey, Capacity: slotsByID(owners)}, 1000
	}
	for _, a := range h.simulate(3*time.Second, logDown) {
		if r, ok := a.(*Release); ok {
			t.Fatalf("keys %d to %d were taken back", r.Range.From, r.Range.To)
		}
	}
}

// The address of an upstream that ended was given to another service's. It
// refuses the release, which no owner does: the owner has ended, and its keys
// need not wait for its lease.
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
			t.Fatalf("keys %d to %d still have no owner %v later", r.From, r.To, h.now.Sub(start))
		}
	}
}

// A planner is replaced while an upstream is dead. The one before it answers
// that it sends no more grants, so that the dead upstream's keys wait for one
// lease only; the answer of a host of another name at its address does not
// count, and they wait for all that a planner may send: 9.2 s.
func TestDeadOwnersKeysDoNotWaitForRetiredPlanner(t *testing.T) {
	timeUntilMoved := func(answeringHost string) time.Duration {
		h := newHarness(t, "a", "b")
		h.simulate(12*time.Second, succeedAll)
		h.table = h.tableOfOtherPlanner()
		h.streamEnd++
		h.p = New(testOptions)
		h.p.opts.Host = "me"
		h.p.AdvanceStreamEnd(h.streamEnd)
		h.publishView()
		return h.simulateUntilMoved(func(a Action) error {
			if r, ok := a.(*Retire); ok {
				h.p.RetireDone(r, answeringHost, true, h.now)
			}
			return upstreamADown(a)
		})
	}
	if took := timeUntilMoved("other"); took > testOptions.GrantTTL+testOptions.GrantTTL/2 {
		t.Errorf("moved only %v after the change of planner", took)
	}
	if took := timeUntilMoved("somebody"); took < testOptions.MaxViewAge+testOptions.GrantTTL {
		t.Errorf("moved %v after the change of planner on a stranger's word", took)
	}
}

// A new planner knows the load already when its term starts, and an upstream
// has too much of it. The upstream's answers to grants take half a second. Its
// keys are not taken back before it has acknowledged the new term: they would
// stay without an owner until every earlier planner's grants had run out.
func TestNoReleaseBeforeOwnerAcknowledgesTerm(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	h.table = h.tableOfOtherPlanner()
	h.streamEnd++
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
					t.Fatalf("keys %d to %d are taken back before any grant was acknowledged", a.Range.From, a.Range.To)
				}
			}
			h.complete(a, nil)
		}
	}
	if released == 0 {
		t.Error("no key moved for load at all")
	}
}

// A data centre is cut off for five seconds: its upstream answers nothing and
// its entry lapses. When the cut heals it answers first and is listed again
// half a second later. Its keys stay with it; nobody else was given them.
func TestOwnerBackFromPartitionKeepsItsKeys(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	// An order that may have arrived keeps the keys where they are for a
	// lease; the cut heals before that is over.
	answersLost := func(a Action) error {
		switch a := a.(type) {
		case *Grant:
			if a.Addr == "a" {
				return ownership.ErrNoAnswer
			}
		case *Release:
			return ownership.ErrNoAnswer
		}
		return nil
	}
	h.simulate(1800*time.Millisecond, answersLost)
	leaving := *h.upstreams["a"]
	leaving.Leaving = true
	h.upstreams["a"] = &leaving
	h.publishView()
	h.simulate(900*time.Millisecond, answersLost)
	h.simulate(500*time.Millisecond, succeedAll)
	returned := leaving
	returned.Leaving = false
	h.upstreams["a"] = &returned
	h.publishView()
	h.simulate(2*time.Second, succeedAll)
	if !owns(h.table, "a") {
		t.Error("the keys have moved")
	}
	if remaining := h.p.services[simService].moves; len(remaining) != 0 {
		t.Errorf("%d moves are left", len(remaining))
	}
}
