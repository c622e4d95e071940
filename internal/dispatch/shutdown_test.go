package dispatch

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A host stops while one request is at an upstream that never responds, a second is
// queued for admission there and a third waits for an owner of its key. None has
// reached its own deadline. Each must get a final response when the stop deadline
// passes: 504 for the first, which may have run, and 503 for the others, which have not.
func TestStoppingHostRespondsToEveryRequest(t *testing.T) {
	silent := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	h := newHarness(t, newUpstream("u1", "plain", silent))
	h.limitToOneInFlight()
	type timedResponse struct {
		response
		at time.Time
	}
	start := func(call func() response) <-chan timedResponse {
		out := make(chan timedResponse, 1)
		go func() { resp := call(); out <- timedResponse{resp, time.Now()} }()
		return out
	}
	sent := start(func() response { return h.post("charge.example", "r1") })
	<-silent.received
	queued := start(func() response { return h.post("charge.example", "r2") })
	ownerless := start(func() response { return h.get("keyed.example", "r3") })
	time.Sleep(testObjective / 20)
	stopAt := time.Now().Add(testObjective / 4)
	h.d.StopBy(stopAt)
	for _, c := range []struct {
		name   string
		got    timedResponse
		status int
	}{{"at the upstream", <-sent, 504}, {"queued for admission", <-queued, 503}, {"waiting for an owner", <-ownerless, 503}} {
		if c.got.err != nil || c.got.status != c.status {
			t.Errorf("%s: got %d, error %v, want %d", c.name, c.got.status, c.got.err, c.status)
		}
		if late := c.got.at.Sub(stopAt); late > testObjective/4 {
			t.Errorf("%s: response %v after the stop deadline", c.name, late)
		}
	}
}

// A request that arrives at a stopping host must be sent with the time until the host's
// stop deadline as its timeout, not with the longer one of its route.
func TestStoppingHostShortensUpstreamTimeout(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.d.StopBy(time.Now().Add(testTimeout / 2))
	h.get("read.example", "r1").want(t, 200, "")
	r := <-f.received
	if left, err := time.ParseDuration(r.Header.Get("X-Timeout-Ms") + "ms"); err != nil || left > testTimeout/2 {
		t.Errorf("the upstream got a timeout of %v, error %v", left, err)
	}
}
