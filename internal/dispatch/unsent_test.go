package dispatch

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// A caller sends a request again under its ID, and the upstream first sends another response
// to the earlier attempt, which it rejected as not run. Taken for the response to the later
// one, it would state that a request has not run which has.
func TestSecondResponseToEarlierAttemptIsNotUsed(t *testing.T) {
	var mu sync.Mutex
	used := map[net.Conn]bool{}
	f := startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, n int64) bool {
		mu.Lock()
		again := used[c]
		used[c] = true
		mu.Unlock()
		if again || n == 1 {
			writeResponse(w, r, 503, "", "X-Not-Run: 1")
		}
		return n == 1 || writeResponse(w, r, 200, "ran")
	})
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.post("charge.example", "r1").want(t, http.StatusServiceUnavailable, "")
	h.post("charge.example", "r1").want(t, http.StatusOK, "ran")
}
