package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/view"
)

var testOptions = Options{Eager: true, Hold: 3 * time.Second, ViewAge: 6 * time.Second, SeatTTL: 1200 * time.Millisecond}

var allFaults = faults{orderLost: 0.05, orderLate: 0.05, mute: 0.05, orderCut: 0.01, appendLost: 0.1, appendLate: 0.1, storeCut: 0.05,
	reseat: 0.1, freeze: 0.03, crash: 0.01, leave: 0.02, hostRestart: 0.03}

// Callers of one key must never reach two upstreams that both believe they
// own it. Three hosts plan in turn while orders and records get lost or take
// effect late, hosts are cut off, frozen and restarted, the seat is dealt
// anew, and upstreams die and leave; after every step no key may be held
// twice.
func TestNoKeyHasTwoOwners(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 60
	if testing.Short() {
		params.MinSuccessfulTests = 10
	}
	params.MaxShrinkCount = 0
	params.Workers = 4
	p := gopter.NewProperties(params)
	p.Property("one owner a key", prop.ForAll(func(seed uint64) (string, error) {
		s := newSim(seed, allFaults, testOptions)
		if err := s.run(60 * time.Second); err != nil {
			return err.Error(), nil
		}
		return "", nil
	}, gen.UInt64()))
	p.TestingRun(t)
}

// Planners follow each other quickly while each is cut off from some
// upstreams and from the log: one that was replaced still reaches upstreams
// that its successors take for lost, and goes on sending to them for as long
// as it may.
func TestNoKeyHasTwoOwnersWhilePlannersAreCutOff(t *testing.T) {
	cuts := faults{orderLost: 0.02, appendLost: 0.02, orderCut: 0.25, storeCut: 0.2, reseat: 0.5, freeze: 0.02}
	seeds := uint64(120)
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			if err := newSim(seed, cuts, testOptions).run(40 * time.Second); err != nil {
				t.Error(err)
			}
		})
	}
}

// Without faults the play must be a real one: keys get owners, grants are
// kept up, and load moves keys.
func TestCalmPlayGivesEveryKeyAnOwner(t *testing.T) {
	s := newSim(1, faults{}, testOptions)
	if err := s.run(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	s.steady = true
	if err := s.run(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	if len(s.log) < 3 {
		t.Fatalf("%d records after 20 s of changing load", len(s.log))
	}
	covered := 0
	for _, u := range s.ups {
		for _, h := range u.holds {
			covered += h.to - h.from + 1
		}
	}
	if covered != ownership.Keys {
		t.Fatalf("%d of %d keys are held", covered, ownership.Keys)
	}
}

// The oracle itself must notice: upstreams that hold keys three times as long
// as they are told are given successors too soon, and some seed shows it.
func TestOracleNoticesMovesThatComeTooSoon(t *testing.T) {
	for seed := range uint64(40) {
		s := newSim(seed, allFaults, testOptions)
		s.overstay = 3
		if s.run(60*time.Second) != nil {
			return
		}
	}
	t.Fatal("no seed of 40 showed two owners though upstreams overstay their leases")
}

// harness drives one planner by hand.
type harness struct {
	t   *testing.T
	p   *Planner
	now bootclock.Time
	ups map[string]*catalogue.Upstream
	tab *ownership.Table
	v   *view.Holder
	end int64
}

func newHarness(t *testing.T, ids ...string) *harness {
	h := &harness{t: t, p: New(testOptions), now: bootclock.Time(time.Hour), ups: map[string]*catalogue.Upstream{}, v: view.NewHolder()}
	h.p.opts.Host = "me"
	for _, id := range ids {
		h.ups[id] = &catalogue.Upstream{ID: id, Service: simService, Addr: id, Slots: 3}
	}
	h.publish()
	return h
}

func (h *harness) publish() {
	h.v.Publish(func(v *view.View) {
		v.Desired = desired.New(1, nil, map[string]*desired.Service{simService: {Name: simService, Keyed: true}}, desired.Limits{})
		v.Upstreams = catalogue.NewSnapshot(h.ups)
		if h.tab != nil {
			v.Tables = map[string]*ownership.Table{simService: h.tab}
		}
	})
}

// play ticks for d; answer gives each order's result, nil errors by default.
func (h *harness) play(d time.Duration, answer func(Action) error) []Action {
	var all []Action
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(simStep) {
		for _, a := range h.p.Tick(h.now, h.v.Load()) {
			all = append(all, a)
			h.answer(a, answer(a))
		}
	}
	return all
}

func (h *harness) answer(a Action, err error) {
	switch a := a.(type) {
	case *Join:
		h.p.JoinDone(a, metastore.Seat{Held: true, Generation: 1}, err, h.now)
	case *Append:
		if err == nil {
			h.end++
			h.tab = a.Table
		}
		h.p.AppendDone(a, h.end, err, h.now)
		h.publish()
	case *Grant:
		h.p.GrantDone(a, err, h.now)
	case *Release:
		h.p.ReleaseDone(a, "token", err, h.now)
	}
}

func allWell(Action) error { return nil }

// owns reports whether the table gives the owner any key.
func owns(t *ownership.Table, owner string) bool {
	for _, r := range t.Ranges {
		if r.Owner == owner {
			return true
		}
	}
	return false
}

// untilMoved plays until a owns nothing and returns how long that took.
func (h *harness) untilMoved(answer func(Action) error) time.Duration {
	h.t.Helper()
	start := h.now
	for owns(h.tab, "a") {
		if h.now.Sub(start) > 30*time.Second {
			h.t.Fatal("a's keys never moved")
		}
		h.play(simStep, answer)
	}
	return h.now.Sub(start)
}

// deadA answers as a dead upstream a and healthy others would.
func deadA(a Action) error {
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

// The seat goes to another host and back while an upstream is dead. This
// host's own term before knows when its last grant was sent; the dead
// upstream's keys must not wait again for what an earlier planner may have
// sent, ten seconds in which nobody serves them.
func TestOwnTermBeforeIsNotGuessed(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(12*time.Second, allWell)
	h.play(2*time.Second, deadA)
	// The seat is lost and won back without another planner in between.
	h.p.dropTerms()
	if took := h.untilMoved(deadA); took > testOptions.Hold+testOptions.Hold/2 {
		t.Errorf("moved only %v after the second term began", took)
	}
}

// The planner's host is stopped as planned. Until its successor has renewed
// them, its grants are kept up, but no keys are taken back that it could not
// give to anybody.
func TestResignedPlannerKeepsGrantsUp(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(3*time.Second, allWell)
	h.p.Resign()
	gone := *h.ups["a"]
	gone.Leaving = true
	h.ups["a"] = &gone
	h.publish()
	grants := 0
	for _, a := range h.play(2*testOptions.Hold/renewals, allWell) {
		switch a.(type) {
		case *Grant:
			grants++
		case *Join, *Release, *Append:
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
func TestPlannerReadsTheStreamAfterALostAnswer(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(3*time.Second, allWell)
	if !h.p.SoleWriter(h.now) {
		t.Fatal("a calm planner reads what only it writes")
	}
	gone := *h.ups["a"]
	gone.Leaving = true
	h.ups["a"] = &gone
	h.publish()
	h.play(500*time.Millisecond, func(a Action) error {
		if _, ok := a.(*Append); ok {
			return metastore.ErrNoAnswer
		}
		return nil
	})
	if h.p.SoleWriter(h.now) {
		t.Error("after a lost answer the stream is not read")
	}
	h.p.StreamEnd(h.end + 1)
	if !h.p.SoleWriter(h.now) {
		t.Error("the stream is still read once its end is known")
	}
}

// A host with a weak link leaves the seat to others while one of them plans,
// and takes it once none is seen any more.
func TestWeakHostPlansOnlyIfNobodyElseDoes(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.p.opts.Eager = false
	for range 50 {
		h.p.PlannerSeen(h.now)
		if got := h.play(100*time.Millisecond, allWell); len(got) > 0 {
			t.Fatalf("sends %T though another host plans", got[0])
		}
	}
	h.play(patience+5*time.Second, allWell)
	if h.tab == nil || !owns(h.tab, "a") {
		t.Error("nobody plans")
	}
}

// A fleet starts: the strong hosts' first table takes its time while the
// upstreams register. A weak host that sought the seat meanwhile would get it
// and plan for everybody.
func TestWeakHostWaitsWhileTheFleetStarts(t *testing.T) {
	h := newHarness(t)
	h.p.opts.Eager = false
	if got := h.play(2*patience, allWell); len(got) > 0 {
		t.Fatalf("sends %T though no upstream is there to plan for", got[0])
	}
	h.ups["a"] = &catalogue.Upstream{ID: "a", Service: simService, Addr: "a", Slots: 3}
	h.publish()
	if got := h.play(patience+settle-simStep, allWell); len(got) > 0 {
		t.Fatalf("sends %T before a planner could have shown itself", got[0])
	}
	h.play(patience, allWell)
	if h.tab == nil || !owns(h.tab, "a") {
		t.Error("nobody plans")
	}
}

// A weak host has the seat when a strong one is there again: it gives way, but
// only after the other weak hosts have followed it for long enough to seek the
// seat no more. Giving it up at once handed it to the next of them, and on,
// with a term every half a second. If nobody takes it, it plans again.
func TestWeakPlannerGivesWay(t *testing.T) {
	h := newHarness(t, "a")
	h.p.opts.Eager = false
	for !h.p.Holding(h.now) {
		h.play(simStep, allWell)
	}
	for taken := h.now; h.now.Sub(taken) < 2*testOptions.SeatTTL; h.play(simStep, allWell) {
		if h.p.ShouldGiveWay(h.now) {
			t.Fatalf("gives way after %v", h.now.Sub(taken))
		}
	}
	h.play(time.Second, allWell)
	if !h.p.ShouldGiveWay(h.now) {
		t.Fatal("does not give way")
	}
	h.p.GiveWay(h.now)
	got := h.play(patience-simStep, allWell)
	if len(got) != 1 {
		t.Fatalf("sends %v, want the end of its membership", got)
	}
	if _, ok := got[0].(*Leave); !ok {
		t.Fatalf("sends %T, want the end of its membership", got[0])
	}
	h.play(patience, allWell)
	if !h.p.Holding(h.now) {
		t.Error("nobody plans")
	}
	h.p.opts.Eager = true
	h.play(5*time.Second, allWell)
	if h.p.ShouldGiveWay(h.now) {
		t.Error("a strong planner gives way")
	}
}

// A weak host sought the seat and did not get it; then it sees the planner. It
// leaves the group: a member that stops its proofs may be dealt the seat until
// its membership lapses, and nobody plans meanwhile.
func TestWeakHostLeavesTheGroupOnceItSeesThePlanner(t *testing.T) {
	h := newHarness(t, "a")
	h.p.opts.Eager = false
	sought := false
	for !sought {
		for _, a := range h.p.Tick(h.now, h.v.Load()) {
			if j, ok := a.(*Join); ok {
				sought = true
				h.p.JoinDone(j, metastore.Seat{Generation: 1}, nil, h.now)
			}
		}
		h.now = h.now.Add(simStep)
	}
	h.p.PlannerSeen(h.now)
	got := h.play(patience/2, allWell)
	if len(got) != 1 {
		t.Fatalf("sends %v, want the end of its membership", got)
	}
	if _, ok := got[0].(*Leave); !ok {
		t.Errorf("sends %T, want the end of its membership", got[0])
	}
}

// A weak host was cut off for ten seconds and saw no planner. When the cut
// ends there is one all along: the host looks for it before it seeks the
// seat, which would take it from the planner.
func TestWeakHostLooksForThePlannerAfterACut(t *testing.T) {
	h := newHarness(t, "a")
	h.p.opts.Eager = false
	h.p.PlannerSeen(h.now)
	h.play(10*time.Second, func(Action) error { return metastore.ErrNoAnswer })
	h.p.LogRegained(h.now)
	for _, a := range h.play(patience/2, allWell) {
		if _, ok := a.(*Join); ok {
			t.Fatal("seeks the seat right after the cut")
		}
	}
}

// The planner's host ends and the group gives its seat to this one, which
// learns of it with its next proof only. The planner's silence makes that
// proof come soon; without it keys would be planned for by nobody the longer.
func TestLostPlannerIsReplacedSoon(t *testing.T) {
	h := newHarness(t, "a")
	h.play(simStep, func(Action) error { return metastore.ErrRefused })
	if got := h.play(joinHurried+simStep, allWell); len(got) > 0 {
		t.Fatalf("sends %T while the planner is well", got[0])
	}
	h.p.PlannerLost()
	h.play(simStep, allWell)
	if !h.p.Holding(h.now) {
		t.Error("the seat is not sought")
	}
}

// foreignTable is the table as another host's next term would record it.
func (h *harness) foreignTable() *ownership.Table {
	return h.tab.TakeOver("other", "other:1")
}

// A planner is cut off from the log for five seconds, and another gets its
// seat. The first one reads of it as soon as the cut ends, when its own proof
// of the seat is still younger than the time for which it may renew grants.
// If it took over on that proof, the two would supersede each other and the
// keys of lost upstreams would wait for what either may have sent.
func TestStaleProofOfTheSeatStartsNoTerm(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(10*time.Second, allWell)
	cut := func(a Action) error {
		if _, ok := a.(*Join); ok {
			return metastore.ErrNoAnswer
		}
		return nil
	}
	h.play(5*time.Second, cut)
	h.tab = h.foreignTable()
	h.publish()
	for _, a := range h.play(500*time.Millisecond, cut) {
		if ap, ok := a.(*Append); ok {
			t.Fatalf("records term %d on a proof of the seat from before the other planner's term", ap.Table.Term)
		}
	}
	h.play(500*time.Millisecond, allWell)
	if h.tab.Planner != "me" {
		t.Error("does not take over once the seat is proved again")
	}
}

// A planner's orders are refused because an upstream has seen a later one's
// token. The planner reads the stream that it otherwise need not read, to
// learn who plans; and upstreams that refuse are not lost: if they counted as
// lost, all keys would stand without an owner once it plans again.
func TestRefusedOrdersMakeThePlannerReadTheStream(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(10*time.Second, allWell)
	if !h.p.SoleWriter(h.now) {
		t.Fatal("a planner in peace reads the stream")
	}
	lost := 0
	h.p.Note = func(e Event) {
		if e.Kind == UpstreamLost {
			lost++
		}
	}
	h.play(4*time.Second, func(a Action) error {
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
func TestFirstRecordComesBeforeTheDivision(t *testing.T) {
	h := newHarness(t, "a")
	h.play(settle/2, allWell)
	if h.tab == nil || owns(h.tab, "a") {
		t.Fatalf("after half the time to register the table is %+v", h.tab)
	}
	h.ups["b"] = &catalogue.Upstream{ID: "b", Service: simService, Addr: "b", Slots: 3}
	h.publish()
	h.play(settle, allWell)
	if !owns(h.tab, "a") || !owns(h.tab, "b") || owns(h.tab, "") {
		t.Errorf("the keys are not divided among both: %+v", h.tab.Ranges)
	}
}

// A planner marks a dead upstream as lost and is killed ten seconds into its
// term. Its successor saw the mark: nothing was sent to that upstream since,
// and its keys need not wait for the whole time that a planner may send.
func TestSuccessorReliesOnTheMarkOfALostOwner(t *testing.T) {
	first := newHarness(t, "a", "b")
	second := New(testOptions)
	second.opts.Host = "other"
	// The other host follows the log all the while.
	watch := func(d time.Duration, answer func(Action) error) {
		for end := first.now.Add(d); first.now.Before(end); {
			first.play(simStep, answer)
			second.watch(first.now, first.v.Load())
		}
	}
	watch(12*time.Second, allWell)
	watch(1900*time.Millisecond, deadA)
	if !first.tab.IsLost("a") || !owns(first.tab, "a") {
		t.Fatal("the play is wrong: a should be marked and still own keys")
	}
	first.p = second
	second.StreamEnd(first.end)
	if took := first.untilMoved(deadA); took > testOptions.Hold+testOptions.Hold/2 {
		t.Errorf("moved only %v after the successor took over", took)
	}
}

// A caller whose key's owner goes silent waits until its lease has surely
// run out, and no longer: the upstream stops answering, its grants stop being
// renewed, and the record that gives its keys away comes between one lease
// and a lease and a half later.
func TestSilentOwnersKeysMoveOnceItsLeaseRanOut(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(12*time.Second, allWell)
	silent := h.now
	moved := bootclock.Time(0)
	h.play(10*time.Second, func(a Action) error {
		switch a := a.(type) {
		case *Grant:
			if a.Addr == "a" {
				return ownership.ErrNotSent
			}
		case *Release:
			return ownership.ErrNotSent
		case *Append:
			if moved == 0 && !owns(a.Table, "a") {
				moved = h.now
			}
		}
		return nil
	})
	if moved == 0 {
		t.Fatal("the keys never moved")
	}
	// The last grant that arrived was sent up to a renewal before.
	waited := moved.Sub(silent)
	if least := testOptions.Hold - testOptions.Hold/renewals; waited < least {
		t.Errorf("moved %v after the owner went silent, within its lease", waited)
	}
	if most := testOptions.Hold * 3 / 2; waited > most {
		t.Errorf("moved only %v after the owner went silent", waited)
	}
}

// An upstream runs all it is told but its answers get lost for two seconds.
// It is taken for lost; when it answers a release it gets its keys back
// rather than leaving them without an owner until every lease that anyone may
// have given it has run out.
func TestOwnerThatAnswersAgainKeepsItsKeys(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(3*time.Second, allWell)
	lossUntil := h.now.Add(2 * time.Second)
	h.play(6*time.Second, func(a Action) error {
		if g, ok := a.(*Grant); ok && g.Addr == "a" && h.now.Before(lossUntil) {
			return ownership.ErrNoAnswer
		}
		if _, ok := a.(*Release); ok && h.now.Before(lossUntil) {
			return ownership.ErrNoAnswer
		}
		return nil
	})
	owned := 0
	for _, r := range h.tab.Ranges {
		if r.Owner == "a" {
			owned++
		}
	}
	if owned == 0 {
		t.Fatal("the upstream lost its keys though it answers")
	}
	for _, a := range h.play(time.Second+testOptions.Hold/renewals, allWell) {
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
func TestAnswerToAnEarlierReleaseDoesNotCount(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(12*time.Second, allWell)
	var held []*Release
	mute := true
	granted := func(*Grant) {}
	step := func(d time.Duration) {
		for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(simStep) {
			for _, a := range h.p.Tick(h.now, h.v.Load()) {
				switch a := a.(type) {
				case *Release:
					held = append(held, a)
				case *Grant:
					granted(a)
					if mute && a.Addr == "a" {
						h.answer(a, ownership.ErrNoAnswer)
						continue
					}
					h.answer(a, nil)
				default:
					h.answer(a, nil)
				}
			}
		}
	}
	for len(held) < 2 {
		step(simStep)
	}
	mute = false
	first, second := held[0], held[1]
	regranted := false
	granted = func(g *Grant) {
		if g.Addr == "a" && g.Range.From <= second.Range.To && g.Range.To >= second.Range.From {
			regranted = true
		}
	}
	h.p.ReleaseDone(first, "token", nil, h.now)
	step(testOptions.Hold + 2*time.Second)
	// The load now asks for the second range to leave a.
	byKey := make([]float64, ownership.Keys)
	for _, r := range h.tab.Ranges {
		if r.Owner == "a" {
			byKey[r.From] = 10
		}
	}
	h.p.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		return ownership.Load{ByKey: byKey, Capacity: slotsOf(owners)}, 1000
	}
	step(500 * time.Millisecond)
	h.p.ReleaseDone(second, "token", nil, h.now)
	step(100 * time.Millisecond)
	if got := h.tab.Find(second.Range.From).Owner; regranted && got != "a" {
		t.Fatalf("keys %d to %d went to %q on the answer to a release sent before a was granted them again", second.Range.From, second.Range.To, got)
	}
}

// A planner that was cut off from the log is told by an upstream that a
// later planner is at work. It must send no further orders: they would all be
// refused, hundreds a second, until its own view ends.
func TestSupersededPlannerSendsNoOrders(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(3*time.Second, allWell)
	cut := func(a Action) error {
		switch a.(type) {
		case *Join:
			return metastore.ErrRefused
		case *Grant:
			return ownership.ErrFenced
		}
		return nil
	}
	told := bootclock.Time(0)
	h.play(2*time.Second, func(a Action) error {
		if _, ok := a.(*Join); !ok && told != 0 && told != h.now {
			t.Errorf("%v after it was told, the superseded planner sends %T", h.now.Sub(told), a)
		}
		err := cut(a)
		if _, ok := a.(*Grant); ok && told == 0 {
			told = h.now
		}
		return err
	})
}

// The log service refuses this host while keys would move for load. Keys
// taken back now could not be given to anybody, so none may be.
func TestNoKeyMovesForLoadWhileTheSeatIsNotProved(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(3*time.Second, allWell)
	cut := func(a Action) error {
		if _, ok := a.(*Join); ok {
			return metastore.ErrRefused
		}
		return nil
	}
	h.play(time.Second, cut)
	byKey := make([]float64, ownership.Keys)
	for _, r := range h.tab.Ranges {
		if r.Owner == "a" {
			byKey[r.From] = 10
		}
	}
	h.p.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		return ownership.Load{ByKey: byKey, Capacity: slotsOf(owners)}, 1000
	}
	for _, a := range h.play(3*time.Second, cut) {
		if r, ok := a.(*Release); ok {
			t.Fatalf("keys %d to %d were taken back", r.Range.From, r.Range.To)
		}
	}
}

// The address of an upstream that ended was given to another service's. It
// refuses the release, which no owner does: the owner has ended, and its keys
// need not wait for its lease.
func TestRefusedReleaseProvesThatTheOwnerEnded(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.play(12*time.Second, allWell)
	gone := *h.ups["a"]
	gone.Leaving = true
	h.ups["a"] = &gone
	h.publish()
	began := h.now
	h.play(time.Second, func(a Action) error {
		if r, ok := a.(*Release); ok && r.Addr == "a" {
			return ownership.ErrRefused
		}
		return nil
	})
	for _, r := range h.tab.Ranges {
		if r.Owner == "a" {
			t.Fatalf("keys %d to %d still have no owner %v later", r.From, r.To, h.now.Sub(began))
		}
	}
}
