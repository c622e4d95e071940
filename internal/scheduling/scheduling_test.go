package scheduling

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

var (
	urgentClass = desired.Class{Service: "s", Priority: 1, Objective: 600 * time.Millisecond}
	otherClass  = desired.Class{Service: "s", Priority: 2, Objective: 5 * time.Second}
)

func newRequest(class desired.Class, arrived time.Time, lost time.Duration) *Request {
	return &Request{Class: class, MostUrgent: urgentClass, Arrived: arrived, Deadline: arrived.Add(2*class.Objective - lost), Lost: lost}
}

// Guards against less urgent requests making urgent ones miss their objective, against those never
// getting their share, and against refusals where nothing queues, which a wrong estimate makes last.
func TestDecide(t *testing.T) {
	now := time.Now()
	ms := time.Millisecond
	urgent, other := newRequest(urgentClass, now, 0), newRequest(otherClass, now, 0)
	returned, last := newRequest(urgentClass, now, 300*ms), newRequest(urgentClass, now, 620*ms)
	free := Offer{Work: 900 * ms, Known: true, UrgentWork: 100 * ms, Slots: 6, FreeSlots: 3}
	lastSlot, queued, full := free, free, free
	lastSlot.FreeSlots, lastSlot.Work = 1, 1200*ms
	queued.FreeSlots, queued.Queueing, queued.Work = -2, 200*ms, 100*ms
	full.FreeSlots, full.Queueing, full.Work = -6, 440*ms, 100*ms
	fuller := full
	fuller.Queueing = 510 * ms
	for _, c := range []struct {
		what     string
		request  *Request
		offer    Offer
		shareDue bool
		want     decision
	}{
		{"work alone exceeds the objective", urgent, free, false, send},
		{"in time although queued", urgent, queued, false, send},
		{"just within the objective", urgent, full, false, send},
		{"too late", urgent, fuller, false, refuse},
		{"a returning caller would lengthen the queue for new requests", returned, full, false, refuse},
		{"a returning caller without time for another retry", last, full, false, send},
		{"later than the deadline", last, fuller, false, refuse},
		{"free slots", other, free, false, send},
		{"takes the last slot for long", other, lastSlot, false, hold},
		{"urgent ones queue", other, queued, false, hold},
		{"due its share", other, queued, true, send},
	} {
		if got := decide(c.request, &c.offer, c.shareDue, now); got != c.want {
			t.Errorf("%s: decision %d, want %d", c.what, got, c.want)
		}
	}
}

// room is a Place with a given number of free places; it records the order of admission.
type room struct {
	free  *int
	order *[]string
	name  string
}

func (r room) Find(time.Time) (Offer, bool) {
	return Offer{Known: true, Work: 10 * time.Millisecond, Slots: 1, FreeSlots: 2}, true
}

func (r room) Take() bool {
	if *r.free == 0 {
		return false
	}
	*r.free--
	*r.order = append(*r.order, r.name)
	return true
}

// Waiting requests must be admitted by priority, and within a priority by the time left to
// the objective, so that the caller that has returned goes first, not by arrival.
func TestWaitingRequestsAreAdmittedByUrgency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Service
		var order []string
		free, start := 0, time.Now()
		for _, r := range []struct {
			name    string
			request *Request
		}{{"less urgent", newRequest(otherClass, start, 0)}, {"new", newRequest(urgentClass, start, 0)}, {"returned", newRequest(urgentClass, start, 300*time.Millisecond)}} {
			go s.Admit(context.Background(), r.request, room{&free, &order, r.name})
			synctest.Wait()
		}
		for range 3 {
			free++
			s.Released()
			synctest.Wait()
		}
		if want := []string{"returned", "new", "less urgent"}; !slices.Equal(order, want) {
			t.Errorf("admitted in the order %q, want %q", order, want)
		}
	})
}

// Guards against refusals too late for a retry, waiters that stay after their caller has gone, and
// requests queued behind a queue that is known not to move.
func TestRequestsWithoutRoomAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Service
		var order []string
		free, start := 0, time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		disconnected := make(chan Result, 1)
		go func() {
			disconnected <- s.Admit(ctx, newRequest(otherClass, start, 0), room{&free, &order, "disconnects"})
		}()
		if res := s.Admit(context.Background(), newRequest(otherClass, start, 0), room{&free, &order, ""}); res.Outcome != Refused || time.Since(start) != otherClass.Objective/2 {
			t.Errorf("outcome %d after %v, want a refusal after half of the objective", res.Outcome, time.Since(start))
		}
		if res := <-disconnected; res.Outcome != ContextDone || s.Waiting() != 0 {
			t.Errorf("outcome %d, %d still wait", res.Outcome, s.Waiting())
		}
		start = time.Now()
		var ahead sync.WaitGroup
		defer ahead.Wait()
		ahead.Go(func() { s.Admit(context.Background(), newRequest(otherClass, start, 0), room{&free, &order, ""}) })
		synctest.Wait()
		if res := s.Admit(context.Background(), newRequest(otherClass, start.Add(1), 0), room{&free, &order, ""}); res.Outcome != Refused || time.Since(start) > 0 || res.ExpectedWait == 0 {
			t.Errorf("outcome %d after %v, expected wait %v; want a refusal at once", res.Outcome, time.Since(start), res.ExpectedWait)
		}
	})
}

// Callers that return state less than the usual timeout. The lost time must be found without
// taking the spread of transit times for it, and not where callers state various timeouts.
func TestLostTime(t *testing.T) {
	var timeouts Timeouts
	if lost := timeouts.Lost(900*time.Millisecond, 1500*time.Millisecond); lost != 0 {
		t.Errorf("lost %v before the usual timeout is known", lost)
	}
	for i := range 300 {
		timeouts.Lost(1199*time.Millisecond+time.Duration(i%3)*time.Millisecond, 1500*time.Millisecond)
		timeouts.Lost(time.Duration(300+2*i)*time.Millisecond, 1500*time.Millisecond)
	}
	if lost := timeouts.Lost(1195*time.Millisecond, 1500*time.Millisecond); lost != 0 {
		t.Errorf("lost %v by a new caller", lost)
	}
	if lost := timeouts.Lost(800*time.Millisecond, 1500*time.Millisecond); lost < 360*time.Millisecond || lost > 410*time.Millisecond {
		t.Errorf("lost %v, want about 400ms", lost)
	}
	var various Timeouts
	for i := range 300 {
		if lost := various.Lost(time.Duration(50+i*37%1450)*time.Millisecond, 1500*time.Millisecond); lost != 0 {
			t.Fatalf("lost %v after %d various timeouts", lost, i)
		}
	}
}
