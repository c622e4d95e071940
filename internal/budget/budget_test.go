package budget

import (
	"testing"
	"time"
)

var limits = Limits{Ratio: 0.2, Slack: 4, Window: 10 * time.Second}

// retryAsOftenAsAllowed asks for as many repeats as it can get, with perSecond requests a
// second from start to end, and returns when each was granted.
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

// maxWithinWindow returns the largest number of times within any window.
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

// Callers that would have everything repeated get what the ratio allows in
// every window, and no more.
func TestRetriesStayWithinEveryWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	b := New(limits, start.Add(-time.Minute))
	got := retryAsOftenAsAllowed(b, start, start.Add(40*time.Second), 30)
	allowed := int(30*10*limits.Ratio + limits.Slack)
	if n := maxWithinWindow(got, limits.Window); n > allowed {
		t.Errorf("%d repeats in a window, %d are allowed", n, allowed)
	}
	if len(got) < 150 {
		t.Errorf("only %d repeats in 40 s", len(got))
	}
}

// All hosts are killed after they have spent their budget, and start again
// at once. What both lives spend falls into one window and must stay within
// what that window's requests allow.
func TestRestartDoesNotDoubleTheBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	killed := start.Add(20 * time.Second)
	first := New(limits, start.Add(-time.Minute))
	got := retryAsOftenAsAllowed(first, start, killed, 30)
	back := killed.Add(1500 * time.Millisecond)
	second := New(limits, back)
	got = append(got, retryAsOftenAsAllowed(second, back, back.Add(20*time.Second), 30)...)
	// While the hosts are down callers' requests are counted all the same.
	allowed := int(30*10*limits.Ratio + limits.Slack)
	if n := maxWithinWindow(got, limits.Window); n > allowed {
		t.Errorf("%d repeats in a window, %d are allowed", n, allowed)
	}
}

// Services have budgets of their own.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(limits, now.Add(-time.Minute))
	retryAsOftenAsAllowed(b, now, now.Add(time.Second), 30)
	if !b.AllowRetry("other", true, now.Add(time.Second)) {
		t.Error("another service's budget is spent")
	}
}

// Every upstream of a service refuses half of what it is sent. Lookups and bids
// ask for repeats in turn; the lookups must not spend what the bids need.
func TestUrgentRequestsKeepTheReserve(t *testing.T) {
	start := time.Unix(1000, 0)
	b := New(Limits{Ratio: 0.2, Window: 10 * time.Second}, start.Add(-time.Minute))
	for range 1000 {
		b.RecordRequest("s", start)
	}
	lookups, bids := 0, 0
	for range 1000 {
		if b.AllowRetry("s", false, start) {
			lookups++
		}
	}
	for range 1000 {
		if b.AllowRetry("s", true, start) {
			bids++
		}
	}
	if lookups == 0 || bids < lookups-1 {
		t.Errorf("%d repeats of lookups, %d of bids", lookups, bids)
	}
}
