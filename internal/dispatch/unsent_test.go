package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a caller that times out before it is told that its request did not run, and against
// taking more than a tenth of the time from callers that allow little.
func TestUnsentRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	for _, c := range []struct {
		timeout string
		want    time.Duration
	}{{"1000", time.Second - callerTransit}, {"50", 45 * time.Millisecond}} {
		for _, keyed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := newScriptedRequest(false, keyed, nil)
				s.timeoutMs = c.timeout
				s.d.client.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				start := time.Now()
				if status, took := s.serveHTTP(), time.Since(start); status != http.StatusServiceUnavailable || took != c.want {
					t.Errorf("keyed %v: status %d after %v, want 503 after %v", keyed, status, took, c.want)
				}
			})
		}
	}
}

// An upstream with too many connections, a round trip of 8 ms away, resets a new one 2 ms
// after accepting it: 10 ms after it is open here. The request must not be sent before that.
func TestDistantUpstreamThatRejectsConnectionGetsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedRequest(false, false, nil)
		s.d.client.Dial = func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(8 * time.Millisecond)
			near, far := net.Pipe()
			go func() {
				time.AfterFunc(10*time.Millisecond, func() { _ = far.Close() })
				_, _ = io.Copy(io.Discard, far)
			}()
			return near, nil
		}
		if status := s.serveHTTP(); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", status)
		}
	})
}

// Guards against a second response to an earlier, rejected attempt being taken for that to a later
// attempt under the same ID: it would state that a request has not run which has.
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
