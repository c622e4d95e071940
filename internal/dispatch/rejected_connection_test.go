package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// startResettingUpstream listens as an upstream with too many connections does: it takes each
// one and resets it a little later. The channel gets a value for every reset.
func startResettingUpstream(t *testing.T, after time.Duration) (*fakeUpstream, <-chan struct{}) {
	t.Helper()
	resets := make(chan struct{}, 64)
	f := startUpstream(t, echo)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	f.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(after, func() {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				resets <- struct{}{}
			})
		}
	}()
	return f, resets
}

// dialUntilReset opens connections and returns each once it has been reset, so that
// a busy machine does not put the reset after the request.
func dialUntilReset(resets <-chan struct{}) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		select {
		case <-resets:
		case <-ctx.Done():
		}
		return c, err
	}
}

// A connection is reset before the host sees that it opened, as one that waits in a
// full upstream's backlog is. The upstream counted as gone after three of them.
func TestUpstreamThatResetsConnectionsDuringConnectIsOverloaded(t *testing.T) {
	f := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "keyed", f))
	g.setOwner("u1", 1)
	g.d.client.Dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
	}
	for range 4 {
		g.post("keyed.example", "r1").want(t, http.StatusServiceUnavailable, "")
	}
	if g.d.picker.IsEjected("u1", time.Now()) {
		t.Error("the upstream counts as gone")
	}
}

// An upstream has too many connections and resets new ones a moment after it took
// them. Callers' bookings were on their way by then: they were told that the
// outcome is unknown, and could not come back. Nothing had been sent that could
// have run, so they are told that it has not, and when to return. The upstream is
// full, not gone: it is not left alone for seconds.
func TestRequestOnRejectedConnectionHasNotRun(t *testing.T) {
	f, resets := startResettingUpstream(t, 0)
	g := newHarness(t, newUpstream("u1", "keyed", f), newUpstream("u2", "plain", f))
	g.d.client.Dial = dialUntilReset(resets)
	g.setOwner("u1", 1)
	for _, host := range []string{"keyed.example", "charge.example"} {
		for range 3 {
			a := g.post(host, "r1")
			a.want(t, http.StatusServiceUnavailable, "")
			if a.header.Get("Retry-After") == "" {
				t.Errorf("%s: no time to come back", host)
			}
		}
	}
	if g.d.picker.IsEjected("u1", time.Now()) {
		t.Error("the upstream counts as gone")
	}
}

// The connection is reset after the head, or after the whole of a booking was
// read. It may have run, and its caller is not told otherwise.
func TestRequestThatWasReadMayHaveRun(t *testing.T) {
	f := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	g := newHarness(t, newUpstream("u1", "plain", f))
	g.post("charge.example", "r1").want(t, http.StatusBadGateway, "")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
	f, _ = startResettingUpstream(t, 20*time.Millisecond)
	g = newHarness(t, newUpstream("u1", "plain", f))
	g.post("charge.example", "r2").want(t, http.StatusBadGateway, "")
}

// A connection that opens and stays quiet is used.
func TestNewConnectionIsCheckedBriefly(t *testing.T) {
	f := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "plain", f))
	start := time.Now()
	g.post("charge.example", "r1").want(t, http.StatusOK, "")
	if took := time.Since(start); took > testObjective/4 {
		t.Errorf("took %v", took)
	}
}
