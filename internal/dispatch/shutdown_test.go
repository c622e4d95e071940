package dispatch

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A host is told to stop. One charge is at an upstream that never answers, one
// waits for its turn there, one lookup waits for its key to get an owner; all
// have time left. Each gets a final answer before the host ends: the first may
// have run, the others have not.
func TestStoppingHostRespondsToEveryRequest(t *testing.T) {
	silent := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	g := newHarness(t, newUpstream("u1", "plain", silent))
	g.limitToOneInFlight()
	type ended struct {
		response
		at time.Time
	}
	ask := func(f func() response) <-chan ended {
		out := make(chan ended, 1)
		go func() { a := f(); out <- ended{a, time.Now()} }()
		return out
	}
	sent := ask(func() response { return g.post("charge.example", "r1") })
	<-silent.received
	waits := ask(func() response { return g.post("charge.example", "r2") })
	ownerless := ask(func() response { return g.get("keyed.example", "r3") })
	time.Sleep(testObjective / 20)
	stop := time.Now().Add(testObjective / 4)
	g.d.StopBy(stop)
	for _, c := range []struct {
		name   string
		got    ended
		status int
	}{{"at the upstream", <-sent, 504}, {"waiting for a turn", <-waits, 503}, {"waiting for an owner", <-ownerless, 503}} {
		if c.got.err != nil || c.got.status != c.status {
			t.Errorf("%s: got %d, error %v, want %d", c.name, c.got.status, c.got.err, c.status)
		}
		if late := c.got.at.Sub(stop); late > testObjective/4 {
			t.Errorf("%s: answered %v after the last moment", c.name, late)
		}
	}
}

// A request that comes to a stopping host is given the time that the host has
// left, and told to the upstream as its own.
func TestStoppingHostShortensUpstreamTimeout(t *testing.T) {
	f := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "plain", f))
	g.d.StopBy(time.Now().Add(testTimeout / 2))
	g.get("read.example", "r1").want(t, 200, "")
	r := <-f.received
	if left, err := time.ParseDuration(r.Header.Get("X-Timeout-Ms") + "ms"); err != nil || left > testTimeout/2 {
		t.Errorf("the upstream was given %v, error %v", left, err)
	}
}
