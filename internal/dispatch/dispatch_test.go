package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
)

// A request must reach the upstream unchanged except for added headers: the ID of the
// upstream that it is meant for and the time left. The response must come back unchanged.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f))
	resp := h.post("charge.example", "r1")
	resp.want(t, 200, "answer to r1")
	if resp.header.Get("X-Signature") != "sig" {
		t.Error("the response lacks the upstream's signature")
	}
	r := <-f.received
	if r.RequestURI != "/a//b?q=%2f" || r.Method != "POST" || r.Host != "charge.example" {
		t.Errorf("upstream got %s %s, host %s", r.Method, r.RequestURI, r.Host)
	}
	if body, _ := io.ReadAll(r.Body); string(body) != "body of r1" {
		t.Errorf("upstream got body %q", body)
	}
	if r.Header.Get("X-Expect") != "u1" {
		t.Error("the request lacks the ID of the upstream it is meant for")
	}
	if ms := r.Header.Get("X-Timeout-Ms"); len(ms) != 3 {
		t.Errorf("upstream got a timeout of %s ms, want what is left of the route's 800", ms)
	}
}

// The upstream closes the connection in the middle of its response. An idempotent
// request must be retried and get a whole response. A request that is not idempotent
// may have run: it must get 502 and no retry. No caller may get a partial response.
func TestTruncatedResponses(t *testing.T) {
	truncateFirst := func(w io.Writer, c net.Conn, r *http.Request, number int64) bool {
		if number == 1 {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		}
		return echo(w, c, r, number)
	}
	f := startUpstream(t, truncateFirst)
	newHarness(t, newUpstream("u1", "plain", f)).get("read.example", "r1").want(t, 200, "answer to r1")
	f = startUpstream(t, truncateFirst)
	newHarness(t, newUpstream("u1", "plain", f)).post("charge.example", "r1").want(t, 502, "")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("the request was sent %d times", n)
	}
}

// The upstream runs a request that is not idempotent and the response is lost in a
// reset. The caller must get 502, never 429 or 503, which guarantee that it did not run.
func TestLostResponseIsNeverReportedAsNotRun(t *testing.T) {
	f := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	h := newHarness(t, newUpstream("u1", "plain", f), newUpstream("u2", "plain", f))
	h.post("charge.example", "r1").want(t, 502, "")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("the request was sent %d times", n)
	}
}

// The upstream sends a second response to one request, which arrives on the persistent
// connection where the response to the next request is expected. The next caller must
// get the response to its own request.
func TestExtraResponseNeverReachesNextCaller(t *testing.T) {
	f := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, number int64) bool {
		ok := writeResponse(w, r, 200, "answer to "+r.Header.Get("X-Id"))
		if number == 1 {
			go func() {
				time.Sleep(30 * time.Millisecond)
				writeResponse(w, r, 200, "late answer to "+r.Header.Get("X-Id"))
			}()
			return ok
		}
		return ok
	})
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.post("charge.example", "r1").want(t, 200, "answer to r1")
	h.post("charge.example", "r2").want(t, 200, "answer to r2")
	time.Sleep(60 * time.Millisecond)
	h.post("charge.example", "r3").want(t, 200, "answer to r3")
}

// A stale response to an earlier request arrives after the next request was sent and
// before the response to it. It must be recognised by its request ID and skipped.
func TestStaleResponseBeforeOwnResponseIsSkipped(t *testing.T) {
	f := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, number int64) bool {
		if number == 2 {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: sig\r\nContent-Length: 4\r\n\r\nlate")
		}
		return writeResponse(w, r, 200, "answer to "+r.Header.Get("X-Id"))
	})
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.post("charge.example", "r1").want(t, 200, "answer to r1")
	h.post("charge.example", "r2").want(t, 200, "answer to r2")
}

// An overloaded upstream rejects a request as not run: the request must be sent to the
// other upstream. If both are overloaded the caller must be refused at once, with a
// Retry-After header.
func TestOverloadedUpstreams(t *testing.T) {
	overloaded := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
		return writeResponse(w, r, 503, "", "X-Not-Run: 1")
	})
	idle := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", overloaded), newUpstream("u2", "plain", idle))
	h.post("charge.example", "r1").want(t, 200, "answer to r1")
	h = newHarness(t, newUpstream("u1", "plain", overloaded), newUpstream("u2", "plain", overloaded))
	start := time.Now()
	resp := h.post("charge.example", "r2")
	resp.want(t, 503, "")
	if resp.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if took := time.Since(start); took > testObjective/2 {
		t.Errorf("refused only after %v", took)
	}
}

// Nothing listens at the upstream's address, so the request was not sent. The caller
// must get 503, which guarantees that it did not run.
func TestUnreachableUpstreamMeansNotRun(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	h := newHarness(t, &catalogue.Upstream{ID: "u1", Service: "plain", Addr: addr, Slots: 3})
	h.post("charge.example", "r1").want(t, 503, "")
}

// The upstream never responds. The caller must get 504 at the route's timeout, and the
// upstream's connection must be closed so that it stops working on the request.
func TestSilentUpstreamTimesOut(t *testing.T) {
	connClosed := make(chan time.Time, 1)
	f := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.Copy(io.Discard, c)
		connClosed <- time.Now()
		return false
	})
	h := newHarness(t, newUpstream("u1", "plain", f))
	start := time.Now()
	h.post("charge.example", "r1").want(t, 504, "")
	if took := time.Since(start); took < testTimeout || took > testTimeout+200*time.Millisecond {
		t.Errorf("response after %v, the timeout is %v", took, testTimeout)
	}
	select {
	case <-connClosed:
	case <-time.After(time.Second):
		t.Error("the upstream's connection stays open")
	}
}

// When a caller disconnects, the connection to the upstream must be closed at once, so
// that the upstream stops working on the request.
func TestDisconnectedCallerCancelsRequest(t *testing.T) {
	connClosed := make(chan time.Time, 1)
	f := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.Copy(io.Discard, c)
		connClosed <- time.Now()
		return false
	})
	h := newHarness(t, newUpstream("u1", "plain", f))
	ctx, disconnect := context.WithCancel(context.Background())
	go h.call(ctx, "GET", "read.example", "r1", "")
	<-f.received
	disconnectedAt := time.Now()
	disconnect()
	select {
	case closedAt := <-connClosed:
		if d := closedAt.Sub(disconnectedAt); d > 300*time.Millisecond {
			t.Errorf("the upstream's connection was closed after %v", d)
		}
	case <-time.After(testTimeout):
		t.Error("the upstream's connection stays open after the caller disconnected")
	}
}

// The old owner of a key rejects a request because the key has just moved. The request
// must wait until the new ownership is published and be sent to the new owner.
func TestMovedKeyIsServedByNewOwner(t *testing.T) {
	oldOwner := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
		return writeResponse(w, r, 421, "", "X-Not-Run: 1")
	})
	newOwner := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "keyed", oldOwner), newUpstream("u2", "keyed", newOwner))
	h.setOwner("u1", 1)
	go func() {
		<-oldOwner.received
		time.Sleep(50 * time.Millisecond)
		h.setOwner("u2", 2)
	}()
	h.get("keyed.example", "r1").want(t, 200, "answer to r1")
	if n := oldOwner.requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the old owner, want 1", n)
	}
}

// Requests for a key without an owner must be refused within the latency objective,
// with a Retry-After header, and must not be sent to any upstream.
func TestKeyWithoutOwnerIsRefusedSoon(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "keyed", f))
	h.setOwner("", 1)
	start := time.Now()
	resp := h.get("keyed.example", "r1")
	resp.want(t, 503, "")
	if took := time.Since(start); took > testObjective {
		t.Errorf("refused only after %v", took)
	}
	if resp.header.Get("Retry-After") == "" || f.requestCount.Load() != 0 {
		t.Error("no Retry-After, or the request was sent")
	}
}

// A request without a matching route must get 404, but 503 while no desired state is
// known, as the route may exist.
func TestUnknownRoutes(t *testing.T) {
	h := newHarness(t)
	h.get("nowhere.example", "r1").want(t, 404, "")
	h.views.Publish(func(v *view.View) { v.Desired = nil })
	h.get("read.example", "r2").want(t, 503, "")
}

// The upstream responds before it has read a long body and keeps the connection open.
// It would read another request on that connection as the rest of the body, so the
// next request must use a new connection.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	conns := make(chan int, 10)
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- n
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				writeResponse(c, r, 413, "too long")
				time.Sleep(200 * time.Millisecond)
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	h := newHarness(t, &catalogue.Upstream{ID: "u1", Service: "plain", Addr: ln.Addr().String(), Slots: 3})
	long := strings.Repeat("x", 8<<20)
	h.call(context.Background(), "POST", "charge.example", "r1", long).want(t, 413, "too long")
	h.post("charge.example", "r2").want(t, 413, "too long")
	if len(conns) != 2 {
		t.Errorf("%d connections for two requests", len(conns))
	}
}

// The deadline passes while the request is at the upstream, and the connection's deadline
// error comes shortly before the context's. The caller must get 504, not the 502 of a
// broken send.
func TestConnectionDeadlineCountsAsRequestDeadline(t *testing.T) {
	h := newHarness(t)
	req := &request{route: &desired.Route{MaxAttempts: 2}, outbound: &upstream.Request{}, deadline: time.Now(), attempts: 1, mayHaveRun: true, key: -1}
	res := &upstream.Result{Outcome: upstream.OutcomeUnknown, Err: fmt.Errorf("answer: %w", os.ErrDeadlineExceeded)}
	retry, refusal := h.d.afterSend(context.Background(), req, res)
	if retry || refusal == nil || refusal.Cause != CauseTimeout || refusal.Status != http.StatusGatewayTimeout {
		t.Errorf("retry %v, refusal %+v", retry, refusal)
	}
}
