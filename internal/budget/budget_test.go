package budget

import (
	"testing"
	"time"
)

var limits = Limits{Ratio: 0.2, Slack: 4, Window: 10 * time.Second}

// retryAsOftenAsAllowed records perSecond requests a second from start to end,
// requests retries until none is allowed after each of them, and returns the times
// of the allowed ones.
func retryAsOftenAsAllowed(b *Budget, start, end time.Time, perSecond int) []time.Time {
	var out []time.Time
	for at := start; at.Before(end); at = at.Add(time.Second / time.Duration(perSecond)) {
		b.RecordRequest("s", at)
		for b.AllowRetry("s", true, at) {
			out = append(out, at)
		}
	}
	return out
}

// maxWithinWindow returns the largest number of times within any window. The times
// must be sorted.
func maxWithinWindow(times []time.Time, window time.Duration) int {
	best := 0
	for i := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(times[i]) < window {
				n++
			}
		}
		best = max(best, n)
	}
	return best
}

// With unlimited demand for retries, each window must have no more than Ratio and
// Slack allow, and the budget must still be used.
func TestRetriesStayWithinBudgetInEveryWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	b := New(limits, start.Add(-time.Minute))
	got := retryAsOftenAsAllowed(b, start, start.Add(40*time.Second), 30)
	allowed := int(30*10*limits.Ratio + limits.Slack)
	if n := maxWithinWindow(got, limits.Window); n > allowed {
		t.Errorf("%d retries within a window, want at most %d", n, allowed)
	}
	if len(got) < 150 {
		t.Errorf("only %d retries in 40 s, want at least 150", len(got))
	}
}

// All hosts are killed after they have used their budget, and restart at once. The
// retries of the old and the new processes fall into one window and must not exceed
// what the requests in that window allow.
func TestRestartDoesNotDoubleTheBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	killedAt := start.Add(20 * time.Second)
	first := New(limits, start.Add(-time.Minute))
	got := retryAsOftenAsAllowed(first, start, killedAt, 30)
	restartedAt := killedAt.Add(1500 * time.Millisecond)
	second := New(limits, restartedAt)
	got = append(got, retryAsOftenAsAllowed(second, restartedAt, restartedAt.Add(20*time.Second), 30)...)
	// The bound also counts the requests that callers make while the hosts are down.
	allowed := int(30*10*limits.Ratio + limits.Slack)
	if n := maxWithinWindow(got, limits.Window); n > allowed {
		t.Errorf("%d retries within a window, want at most %d", n, allowed)
	}
}

// A service that has used up its budget must not affect another service.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(limits, now.Add(-time.Minute))
	retryAsOftenAsAllowed(b, now, now.Add(time.Second), 30)
	if !b.AllowRetry("other", true, now.Add(time.Second)) {
		t.Error("a retry of another service was not allowed")
	}
}

// Non-urgent requests attempt retries before urgent ones, as when all upstreams are
// overloaded and reject many requests. They must leave the reserve to the urgent ones.
func TestUrgentRequestsKeepTheReserve(t *testing.T) {
	start := time.Unix(1000, 0)
	b := New(Limits{Ratio: 0.2, Window: 10 * time.Second}, start.Add(-time.Minute))
	for range 1000 {
		b.RecordRequest("s", start)
	}
	nonUrgent, urgent := 0, 0
	for range 1000 {
		if b.AllowRetry("s", false, start) {
			nonUrgent++
		}
	}
	for range 1000 {
		if b.AllowRetry("s", true, start) {
			urgent++
		}
	}
	if nonUrgent == 0 || urgent < nonUrgent-1 {
		t.Errorf("%d non-urgent and %d urgent retries, want at least 1 non-urgent and at most one fewer urgent than non-urgent", nonUrgent, urgent)
	}
}
