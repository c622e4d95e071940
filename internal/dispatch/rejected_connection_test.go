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

// startResettingUpstream starts an upstream that has too many connections: it accepts
// each new one and resets it after the given time. The channel gets a value for every
// reset.
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

// dialAndAwaitReset returns a dial function that dials once and returns the connection only
// after it was reset. On a busy machine the reset might otherwise come after the request.
func dialAndAwaitReset(resets <-chan struct{}) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		select {
		case <-resets:
		case <-ctx.Done():
		}
		return c, err
	}
}

// Connections are reset before connect returns, as when they wait in the accept backlog
// of an overloaded upstream. The upstream must not be ejected, however many connections
// are reset: it is overloaded, not broken.
func TestUpstreamThatResetsConnectionsDuringConnectIsOverloaded(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "keyed", f))
	h.setOwner("u1", 1)
	h.d.client.Dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
	}
	for range 4 {
		h.post("keyed.example", "r1").want(t, http.StatusServiceUnavailable, "")
	}
	if h.d.picker.IsEjected("u1", time.Now()) {
		t.Error("the upstream was ejected")
	}
}

// An upstream has too many connections and resets new ones right after it accepted them.
// The reset must be detected before the request is sent: otherwise its caller gets an
// unknown outcome and cannot retry. The caller must get 503 with a Retry-After header. The
// upstream is overloaded and must not be ejected.
func TestRequestOnRejectedConnectionHasNotRun(t *testing.T) {
	f, resets := startResettingUpstream(t, 0)
	h := newHarness(t, newUpstream("u1", "keyed", f), newUpstream("u2", "plain", f))
	h.d.client.Dial = dialAndAwaitReset(resets)
	h.setOwner("u1", 1)
	for _, host := range []string{"keyed.example", "charge.example"} {
		for range 3 {
			resp := h.post(host, "r1")
			resp.want(t, http.StatusServiceUnavailable, "")
			if resp.header.Get("Retry-After") == "" {
				t.Errorf("%s: no Retry-After", host)
			}
		}
	}
	if h.d.picker.IsEjected("u1", time.Now()) {
		t.Error("the upstream was ejected")
	}
}

// The connection is reset after the upstream has read the request, or 20 ms after it
// was accepted, when the request has been sent. The request may have run, so its caller
// must get 502, never a status which guarantees that it did not run.
func TestRequestThatWasReadMayHaveRun(t *testing.T) {
	f := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.post("charge.example", "r1").want(t, http.StatusBadGateway, "")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
	f, _ = startResettingUpstream(t, 20*time.Millisecond)
	h = newHarness(t, newUpstream("u1", "plain", f))
	h.post("charge.example", "r2").want(t, http.StatusBadGateway, "")
}

// A new connection is checked for an immediate reset before a request is sent on it.
// The check must not noticeably delay a request if the connection stays open.
func TestNewConnectionIsCheckedBriefly(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f))
	start := time.Now()
	h.post("charge.example", "r1").want(t, http.StatusOK, "")
	if took := time.Since(start); took > testObjective/4 {
		t.Errorf("took %v", took)
	}
}
