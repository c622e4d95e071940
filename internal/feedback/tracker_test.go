package feedback

import (
	"fmt"
	"testing"
	"time"
)

// A response to a request that was sent before the limit was reported must not lift
// the limit: the upstream may have responded before it set one.
func TestRateLimitEndsOnlyWithALaterRequest(t *testing.T) {
	tr, now := NewTracker(), time.Unix(1000, 0)
	tr.Record("u", Report{RateLimit: 2}, now, now.Add(time.Second))
	tr.Record("u", Report{}, now.Add(500*time.Millisecond), now.Add(2*time.Second))
	if got := tr.RateLimit("u"); got != 2 {
		t.Errorf("rate limit %v after a response to an earlier request, want 2", got)
	}
	tr.Record("u", Report{RateLimitMalformed: true}, now.Add(2*time.Second), now.Add(3*time.Second))
	if got := tr.RateLimit("u"); got != 2 {
		t.Errorf("rate limit %v after a malformed one, want 2", got)
	}
	tr.Record("u", Report{}, now.Add(2*time.Second), now.Add(3*time.Second))
	if got := tr.RateLimit("u"); got != 0 {
		t.Errorf("rate limit %v after a response without one, want none", got)
	}
}

// Hosts that receive reports in different orders must agree on the newest rate limit.
// A notice from a host with an older state must not clear the leaving state of an
// upstream.
func TestNewestReportWinsAcrossHosts(t *testing.T) {
	a, b, now := NewTracker(), NewTracker(), time.Unix(1000, 0)
	a.Record("u", Report{RateLimit: 2, Leaving: true}, now, now)
	b.Merge("a", a.Notices(now.Add(time.Second)), now.Add(time.Second))
	if b.RateLimit("u") != 2 {
		t.Errorf("rate limit %v after the merge, want 2", b.RateLimit("u"))
	}
	if since, ok := b.LeavingSince("u"); !ok || !since.Equal(now) {
		t.Errorf("leaving since %v, %v; want %v", since, ok, now)
	}
	b.Record("u", Report{}, now.Add(2*time.Second), now.Add(3*time.Second))
	b.Merge("a", a.Notices(now.Add(4*time.Second)), now.Add(4*time.Second))
	if b.RateLimit("u") != 0 {
		t.Errorf("rate limit %v restored by an older notice", b.RateLimit("u"))
	}
	a.Merge("b", b.Notices(now.Add(5*time.Second)), now.Add(5*time.Second))
	if a.RateLimit("u") != 0 {
		t.Errorf("rate limit %v after a notice that it ended", a.RateLimit("u"))
	}
	if _, ok := a.LeavingSince("u"); !ok {
		t.Error("the upstream no longer counts as leaving")
	}
}

// A later, shorter backoff must not shorten the current one, and a backoff must not
// apply to other hosts.
func TestBackoffAppliesToOneHost(t *testing.T) {
	a, b, now := NewTracker(), NewTracker(), time.Unix(1000, 0)
	a.Record("u", Report{Backoff: 3 * time.Second}, now, now)
	a.Record("u", Report{Backoff: time.Second}, now, now.Add(time.Second))
	if got := a.Backoff("u", now.Add(time.Second)); got != 2*time.Second {
		t.Errorf("backoff of %v left, want 2s", got)
	}
	b.Merge("a", a.Notices(now), now)
	if got := b.Backoff("u", now); got != 0 {
		t.Errorf("another host backs off for %v", got)
	}
	if got := b.Status("u", now).BackoffHosts; got != 1 {
		t.Errorf("%d hosts known to back off, want 1", got)
	}
	if got := ForFollower(b.Notices(now), nil); len(got) != 0 {
		t.Errorf("a follower receives its own backoff: %+v", got)
	}
	if got := b.Status("u", now.Add(time.Hour)).BackoffHosts; got != 0 {
		t.Errorf("%d hosts known to back off after the end, want none", got)
	}
}

// Prune must bound the tracked upstreams to those that keep accepts and that have
// recent state; maxNotices must bound the notices in a message.
func TestTrackerIsBounded(t *testing.T) {
	tr, now := NewTracker(), time.Unix(1000, 0)
	for i := range 3 * maxNotices {
		tr.Record(fmt.Sprint("u", i), Report{RateLimit: 2}, now, now.Add(time.Duration(i)*time.Second))
	}
	got := tr.Notices(now.Add(time.Hour))
	if len(got) != maxNotices || got[0].Upstream != fmt.Sprint("u", 3*maxNotices-1) {
		t.Errorf("%d notices, first %+v", len(got), got[0])
	}
	tr.Prune(func(id string) bool { return id == "u1" }, now)
	if limited, _ := tr.Counts(); limited != 1 {
		t.Errorf("%d upstreams kept, want 1", limited)
	}
	tr.Record("u1", Report{}, now.Add(time.Hour), now.Add(time.Hour))
	tr.Prune(func(string) bool { return true }, now.Add(time.Hour+2*throttleRetention))
	if len(tr.upstreams) != 0 {
		t.Errorf("%d upstreams kept without recent state", len(tr.upstreams))
	}
}

// Guards against new requests to an upstream that has restarted under its ID during an outage of the
// log service and reported then that it is leaving: once its new entry was read, hosts had forgotten the
// report. What the previous incarnation had reported must not count for the next.
func TestReportsSinceARestartAreCarriedOver(t *testing.T) {
	restarted := time.Now()
	before, after := restarted.Add(-time.Second), restarted.Add(time.Second)
	for _, c := range []struct {
		name              string
		report            Report
		reported, restart time.Time
		wantLeaving       bool
		wantLimit         float64
		wantBackoff       bool
	}{
		{"leaving", Report{Leaving: true}, after, restarted, true, 0, false},
		{"leaving before the restart", Report{Leaving: true}, before, restarted, false, 0, false},
		{"leaving, without a known restart", Report{Leaving: true}, after, time.Time{}, false, 0, false},
		{"limit", Report{RateLimit: 2}, after, restarted, false, 2, false},
		{"limit before the restart", Report{RateLimit: 2}, before, restarted, false, 0, false},
		{"backoff", Report{Backoff: time.Minute}, after, restarted, false, 0, true},
		{"backoff before the restart", Report{Backoff: time.Minute}, before, restarted, false, 0, false},
	} {
		tr := NewTracker()
		tr.Record("u@1", c.report, c.reported, c.reported)
		_, changed := tr.CarryOver("u@1", "u@2", c.restart)
		_, leaving := tr.LeavingSince("u@2")
		if limit, backoff := tr.RateLimit("u@2"), tr.Backoff("u@2", after) > 0; leaving != c.wantLeaving || limit != c.wantLimit || backoff != c.wantBackoff {
			t.Errorf("%s: leaving %v, limit %v, backoff %v", c.name, leaving, limit, backoff)
		}
		if want := c.wantLeaving || c.wantLimit > 0 || c.wantBackoff; changed != want {
			t.Errorf("%s: changed %v, want %v", c.name, changed, want)
		}
		all := func(string) bool { return true }
		if tr.Prune(all, after.Add(carriedLeavingTTL+1)); leaving {
			if _, still := tr.LeavingSince("u@2"); still {
				t.Errorf("%s: still leaving %v after the report", c.name, carriedLeavingTTL)
			}
		}
	}
}
