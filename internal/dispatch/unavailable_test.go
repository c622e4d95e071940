package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/ratelimit"
)

// respondWith returns a respond function that responds to every request with the status,
// the extra header lines and the body "said".
func respondWith(status int, extra ...string) func(io.Writer, net.Conn, *http.Request, int64) bool {
	return func(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
		return writeResponse(w, r, status, "said", extra...)
	}
}

// retryAfter returns the delay in the Retry-After header, which may have fractions.
func (resp response) retryAfter(t *testing.T) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatalf("Retry-After %q: %v", resp.header.Get("Retry-After"), err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// An upstream that asks for a backoff must get no more requests. Requests that only it
// could serve must be refused at once, rather than wait or be sent to it.
func TestUpstreamInBackoffGetsNoRequests(t *testing.T) {
	overloaded := startUpstream(t, respondWith(http.StatusServiceUnavailable, "X-Not-Run: 1", "Retry-After: 30"))
	other := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", overloaded), newUpstream("k1", "keyed", overloaded), newUpstream("u2", "plain", other))
	h.setOwner("k1", 1)
	h.get("keyed.example", "first").want(t, http.StatusServiceUnavailable, "")
	for i := range 5 {
		start := time.Now()
		resp := h.get("keyed.example", "later"+strconv.Itoa(i))
		resp.want(t, http.StatusServiceUnavailable, string(CauseBackoff)+"\n")
		if took := time.Since(start); took > testObjective/2 {
			t.Errorf("refused after %v", took)
		}
		if retryAfter := resp.retryAfter(t); retryAfter < time.Second {
			t.Errorf("Retry-After %v during a backoff of 30s", retryAfter)
		}
	}
	if n := overloaded.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the keys' owner, want 1", n)
	}
	for i := range 20 {
		h.get("read.example", "plain"+strconv.Itoa(i)).want(t, http.StatusOK, "")
	}
	if n := overloaded.requestCount.Load(); n > 2 {
		t.Errorf("%d requests reached upstreams in backoff, want 2 at most", n)
	}
}

// An upstream reports a rate limit only with its response to the first attempt. The
// retry and later requests must take a permit before they are sent.
func TestEachAttemptNeedsAPermit(t *testing.T) {
	f := startUpstream(t, respondWith(http.StatusInternalServerError, "X-Limit: 1"))
	h := newHarness(t, newUpstream("k1", "keyed", f))
	permitRequests := 0
	h.d.rateLimiter = ratelimit.NewLimiter(ratelimit.Bounds{}, func(context.Context, string, float64, int) (ratelimit.PermitReply, error) {
		permitRequests++
		return ratelimit.PermitReply{Wait: time.Second}, nil
	})
	h.setOwner("k1", 1)
	h.get("keyed.example", "r1")
	if n := f.requestCount.Load(); n != 1 || permitRequests != 1 {
		t.Errorf("%d sends, %d permit requests; want 1 send and 1 permit request, that of the retry", n, permitRequests)
	}
	h.get("keyed.example", "r2").want(t, http.StatusServiceUnavailable, string(CauseRateLimited)+"\n")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("%d sends without a permit", n-1)
	}
}

// An upstream should have handed over its keys more than handoverGrace ago, so that
// the handover is probably blocked. Requests for the keys must be refused at once
// rather than wait for a new owner.
func TestKeysOfOverdueHandoverAreRefusedAtOnce(t *testing.T) {
	f := startUpstream(t, echo)
	for _, c := range []struct {
		name        string
		handoverIn  time.Duration
		maxDuration time.Duration
	}{
		{"handing over", time.Second, testTimeout},
		{"overdue", -2 * handoverGrace, testObjective / 8},
	} {
		u := newUpstream("k1", "keyed", f)
		u.HandoverBy = time.Now().Add(c.handoverIn)
		h := newHarness(t, u)
		h.setOwner("k1", 1)
		start := time.Now()
		resp := h.get("keyed.example", "r1")
		if took := time.Since(start); took > c.maxDuration {
			t.Errorf("%s: response after %v", c.name, took)
		}
		if c.handoverIn > 0 {
			resp.want(t, http.StatusOK, "")
			continue
		}
		resp.want(t, http.StatusServiceUnavailable, string(CauseNoOwner)+"\n")
	}
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the upstream, want 1", n)
	}
}
