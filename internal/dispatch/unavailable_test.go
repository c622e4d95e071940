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

// respondWith answers every request with the status and headers.
func respondWith(status int, extra ...string) func(io.Writer, net.Conn, *http.Request, int64) bool {
	return func(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
		return writeResponse(w, r, status, "said", extra...)
	}
}

// retryAfter returns when the caller is told to come back.
func (a response) retryAfter(t *testing.T) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatalf("Retry-After %q: %v", a.header.Get("Retry-After"), err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// An upstream that asks for a rest must get nothing more, and callers that only it
// could serve must be told so at once instead of waiting or being sent there.
func TestUpstreamInBackoffGetsNoRequests(t *testing.T) {
	f := startUpstream(t, respondWith(http.StatusServiceUnavailable, "X-Not-Run: 1", "Retry-After: 30"))
	other := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "plain", f), newUpstream("k1", "keyed", f), newUpstream("u2", "plain", other))
	g.setOwner("k1", 1)
	g.get("keyed.example", "first").want(t, http.StatusServiceUnavailable, "")
	for i := range 5 {
		start := time.Now()
		a := g.get("keyed.example", "later"+strconv.Itoa(i))
		a.want(t, http.StatusServiceUnavailable, string(CauseBackoff)+"\n")
		if took := time.Since(start); took > testObjective/2 {
			t.Errorf("refused after %v", took)
		}
		if back := a.retryAfter(t); back < time.Second {
			t.Errorf("told to come back after %v, in the rest of 30s", back)
		}
	}
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the keys' owner, want 1", n)
	}
	for i := range 20 {
		g.get("read.example", "plain"+strconv.Itoa(i)).want(t, http.StatusOK, "")
	}
	if n := f.requestCount.Load(); n > 2 {
		t.Errorf("%d requests reached upstreams that rest, want 2 at most", n)
	}
}

// A request that waited for its turn, or is sent again, while its upstream named a
// limit must ask for leave as well.
func TestEachAttemptNeedsAPermit(t *testing.T) {
	f := startUpstream(t, respondWith(http.StatusInternalServerError, "X-Limit: 1"))
	g := newHarness(t, newUpstream("k1", "keyed", f))
	asked := 0
	g.d.rateLimiter = ratelimit.NewLimiter(ratelimit.Bounds{}, func(context.Context, string, float64, int) (ratelimit.Permit, error) {
		asked++
		return ratelimit.Permit{Wait: time.Second}, nil
	})
	g.setOwner("k1", 1)
	g.get("keyed.example", "r1")
	if n := f.requestCount.Load(); n != 1 || asked != 1 {
		t.Errorf("%d sends, leave asked for %d times; want 1 and 1 for the repeat", n, asked)
	}
	g.get("keyed.example", "r2").want(t, http.StatusServiceUnavailable, string(CauseRateLimited)+"\n")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("%d sends without leave", n-1)
	}
}

// Keys of an upstream that should have handed them over long ago cannot be served
// at present; callers must be told at once instead of waiting for a move.
func TestKeysOfOverdueHandoverAreRefusedAtOnce(t *testing.T) {
	f := startUpstream(t, echo)
	for _, c := range []struct {
		name string
		left time.Duration
		most time.Duration
	}{
		{"handing over", time.Second, testTimeout},
		{"overdue", -2 * handoverGrace, testObjective / 8},
	} {
		u := newUpstream("k1", "keyed", f)
		u.LeaveBy = time.Now().Add(c.left)
		g := newHarness(t, u)
		g.setOwner("k1", 1)
		start := time.Now()
		a := g.get("keyed.example", "r1")
		if took := time.Since(start); took > c.most {
			t.Errorf("%s: answered after %v", c.name, took)
		}
		if c.left > 0 {
			a.want(t, http.StatusOK, "")
			continue
		}
		a.want(t, http.StatusServiceUnavailable, string(CauseNoOwner)+"\n")
	}
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the upstream, want 1", n)
	}
}
