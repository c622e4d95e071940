package admission

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/scheduling"
)

var (
	payments = desired.Class{Service: "s", Priority: 1, Objective: 600 * time.Millisecond}
	browsing = desired.Class{Service: "s", Priority: 2, Objective: 5 * time.Second}
)

func ranked(class desired.Class, lost time.Duration) *scheduling.Request {
	now := time.Now()
	return &scheduling.Request{Class: class, MostUrgent: payments, Arrived: now, Deadline: now.Add(10 * time.Second), Lost: lost}
}

// admissions returns the order in which the requests are admitted, one at a time, if they
// arrive in the given order while another one is in flight.
func admissions(l *Limiter, requests ...*scheduling.Request) (order []int) {
	ctx, limitRange := context.Background(), HostLimitRange(6, 1, 2)
	first := l.AcquireRanked(ctx, ranked(payments, 0), time.Minute, limitRange)
	type admitted struct {
		index  int
		ticket *Ticket
	}
	out := make(chan admitted, len(requests))
	for i, r := range requests {
		go func() { out <- admitted{i, l.AcquireRanked(ctx, r, time.Minute, limitRange)} }()
		synctest.Wait()
	}
	ticket := first
	for range requests {
		ticket.Done(InTime, ticket.request.Class.Objective/4)
		next := <-out
		order, ticket = append(order, next.index), next.ticket
	}
	ticket.Done(InTime, 0)
	return order
}

// While a keyed service's owner is busy, browsing requests that arrived earlier delayed urgent
// payments. Waiters must get their turn by urgency, a returned caller ahead of a new one.
func TestWaitersAreAdmittedByUrgency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := admissions(NewLimiter(), ranked(browsing, 0), ranked(payments, 0), ranked(browsing, 0), ranked(payments, 300*time.Millisecond))
		if want := []int{3, 1, 0, 2}; !slices.Equal(got, want) {
			t.Errorf("admitted in the order %v, want %v", got, want)
		}
	})
}

// By urgency alone, a steady queue of payments would leave browsing without any work.
func TestLessUrgentWaiterGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter()
		requests := []*scheduling.Request{ranked(browsing, 0)}
		for range 30 {
			requests = append(requests, ranked(payments, 0))
		}
		got := admissions(l, requests...)
		// Until the class is known, its latency is the mean of about 150 ms: nine payments earn it.
		if i := slices.Index(got, 0); i < 5 || i > 20 {
			t.Errorf("browsing was admitted after %d of 30 payments, want about 9", i)
		}
	})
}

// Slow responses of browsing were taken for the latency of payments: the limiter then refused
// payments whose turn would have come in time.
func TestExpectedWaitRestsOnTheLatencyOfTheClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter()
		l.setLimitRange(HostLimitRange(6, 1, 2))
		for range 20 {
			l.inFlight += 2
			(&Ticket{limiter: l, request: ranked(browsing, 0)}).Done(InTime, 3*time.Second)
			(&Ticket{limiter: l, request: ranked(payments, 0)}).Done(InTime, 100*time.Millisecond)
		}
		ahead := &waiter{request: ranked(payments, 0)}
		mean := l.latency
		l.enqueue(ahead)
		wait := l.expectedWaitOf(&waiter{request: ranked(payments, 0)}, time.Now())
		if want := mean + 100*time.Millisecond; wait < want*9/10 || wait > want*11/10 {
			t.Errorf("expected wait %v behind one payment, want about %v", wait, want)
		}
		l.enqueue(&waiter{request: ranked(browsing, 0)})
		if again := l.expectedWaitOf(&waiter{request: ranked(payments, 0)}, time.Now()); again != wait {
			t.Errorf("expected wait %v with browsing behind, want %v", again, wait)
		}
	})
}
