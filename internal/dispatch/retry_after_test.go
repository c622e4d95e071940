package dispatch

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// A caller is refused for want of room: it must come back while it can be
// served within its objective still. One whose key nobody owns must not come
// back before a lost owner's lease can have run out.
func TestRetryAfterOfRefusals(t *testing.T) {
	full := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
		return writeResponse(w, r, 503, "", "X-Not-Run: 1")
	})
	g := newHarness(t, newUpstream("u1", "plain", full))
	told := func(a response) time.Duration {
		t.Helper()
		a.want(t, http.StatusServiceUnavailable, "")
		secs, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if err != nil {
			t.Fatal(err)
		}
		return time.Duration(secs * float64(time.Second))
	}
	if d := told(g.post("charge.example", "r1")); d > testObjective/3 {
		t.Errorf("full: told %v, the objective is %v", d, testObjective)
	}
	if d := told(g.get("keyed.example", "r2")); d < retryAfterNoOwner/2 {
		t.Errorf("no owner: told %v", d)
	}
}
