package dispatch

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// The Retry-After delay of a request refused by overloaded upstreams must leave time to
// serve the retry within the latency objective. That of a request whose key has no owner
// must be long enough that a lost owner's grant has often expired before the retry: at
// least half of retryAfterNoOwner, which is itself half of the default grant TTL of 3 s.
func TestRetryAfterOfRefusals(t *testing.T) {
	overloaded := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
		return writeResponse(w, r, 503, "", "X-Not-Run: 1")
	})
	h := newHarness(t, newUpstream("u1", "plain", overloaded))
	retryAfter := func(resp response) time.Duration {
		t.Helper()
		resp.want(t, http.StatusServiceUnavailable, "")
		seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		if err != nil {
			t.Fatal(err)
		}
		return time.Duration(seconds * float64(time.Second))
	}
	if d := retryAfter(h.post("charge.example", "r1")); d > testObjective/3 {
		t.Errorf("overloaded: Retry-After %v, the latency objective is %v", d, testObjective)
	}
	if d := retryAfter(h.get("keyed.example", "r2")); d < retryAfterNoOwner/2 {
		t.Errorf("no owner: Retry-After %v", d)
	}
}
