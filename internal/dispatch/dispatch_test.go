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

// A request reaches the upstream unchanged, marked with the upstream it is
// meant for and the time that is left, and its answer comes back unchanged.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	f := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "plain", f))
	a := g.post("charge.example", "r1")
	a.want(t, 200, "answer to r1")
	if a.header.Get("X-Signature") != "sig" {
		t.Error("the upstream's signature is lost")
	}
	r := <-f.received
	if r.RequestURI != "/a//b?q=%2f" || r.Method != "POST" || r.Host != "charge.example" {
		t.Errorf("upstream saw %s %s of %s", r.Method, r.RequestURI, r.Host)
	}
	if body, _ := io.ReadAll(r.Body); string(body) != "body of r1" {
		t.Errorf("upstream saw body %q", body)
	}
	if r.Header.Get("X-Expect") != "u1" {
		t.Error("the request does not say which upstream it is meant for")
	}
	if ms := r.Header.Get("X-Timeout-Ms"); len(ms) != 3 {
		t.Errorf("upstream is told %s ms, want what is left of the route's 800", ms)
	}
}

// The upstream breaks off in the middle of its answer. The caller of a read
// gets a whole answer from a second try; the caller of a charge, which may
// have run, gets 502 and no second try, and neither sees half an answer.
func TestTruncatedResponses(t *testing.T) {
	broken := func(w io.Writer, c net.Conn, r *http.Request, n int64) bool {
		if n == 1 {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		}
		return echo(w, c, r, n)
	}
	f := startUpstream(t, broken)
	newHarness(t, newUpstream("u1", "plain", f)).get("read.example", "r1").want(t, 200, "answer to r1")
	f = startUpstream(t, broken)
	newHarness(t, newUpstream("u1", "plain", f)).post("charge.example", "r1").want(t, 502, "")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("the charge was sent %d times", n)
	}
}

// The upstream runs the charge and the answer is lost with a reset. The
// caller must not be told that it did not run: 502, never 429 or 503.
func TestLostResponseIsNeverReportedAsNotRun(t *testing.T) {
	f := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	g := newHarness(t, newUpstream("u1", "plain", f), newUpstream("u2", "plain", f))
	g.post("charge.example", "r1").want(t, 502, "")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("the charge was sent %d times", n)
	}
}

// The upstream answers twice; the second answer arrives on the kept
// connection where the next caller's is due. The next caller gets its own.
func TestExtraResponseNeverReachesNextCaller(t *testing.T) {
	f := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, n int64) bool {
		ok := writeResponse(w, r, 200, "answer to "+r.Header.Get("X-Id"))
		if n == 1 {
			go func() {
				time.Sleep(30 * time.Millisecond)
				writeResponse(w, r, 200, "late answer to "+r.Header.Get("X-Id"))
			}()
			return ok
		}
		return ok
	})
	g := newHarness(t, newUpstream("u1", "plain", f))
	g.post("charge.example", "r1").want(t, 200, "answer to r1")
	g.post("charge.example", "r2").want(t, 200, "answer to r2")
	time.Sleep(60 * time.Millisecond)
	g.post("charge.example", "r3").want(t, 200, "answer to r3")
}

// A late answer that comes after the next request went out, before that
// one's own answer, is told apart by its ID.
func TestStaleResponseBeforeOwnResponseIsSkipped(t *testing.T) {
	f := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, n int64) bool {
		if n == 2 {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: sig\r\nContent-Length: 4\r\n\r\nlate")
		}
		return writeResponse(w, r, 200, "answer to "+r.Header.Get("X-Id"))
	})
	g := newHarness(t, newUpstream("u1", "plain", f))
	g.post("charge.example", "r1").want(t, 200, "answer to r1")
	g.post("charge.example", "r2").want(t, 200, "answer to r2")
}

// A full upstream says that it did not run the charge; the charge runs once,
// at the other one. If both are full the caller is told so at once, with a
// time to come back.
func TestOverloadedUpstreams(t *testing.T) {
	full := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
		return writeResponse(w, r, 503, "", "X-Not-Run: 1")
	})
	free := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "plain", full), newUpstream("u2", "plain", free))
	g.post("charge.example", "r1").want(t, 200, "answer to r1")
	g = newHarness(t, newUpstream("u1", "plain", full), newUpstream("u2", "plain", full))
	start := time.Now()
	a := g.post("charge.example", "r2")
	a.want(t, 503, "")
	if a.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if took := time.Since(start); took > testObjective/2 {
		t.Errorf("refused only after %v", took)
	}
}

// Nobody listens at the upstream's address: the charge was never sent, which
// the caller may be told.
func TestUnreachableUpstreamMeansNotRun(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	g := newHarness(t, &catalogue.Upstream{ID: "u1", Service: "plain", Addr: addr, Slots: 3})
	g.post("charge.example", "r1").want(t, 503, "")
}

// The upstream never answers: the caller gets its final answer at the
// route's timeout, and the upstream sees the connection end, so that it stops.
func TestSilentUpstreamTimesOut(t *testing.T) {
	ended := make(chan time.Time, 1)
	f := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.Copy(io.Discard, c)
		ended <- time.Now()
		return false
	})
	g := newHarness(t, newUpstream("u1", "plain", f))
	start := time.Now()
	g.post("charge.example", "r1").want(t, 504, "")
	if took := time.Since(start); took < testTimeout || took > testTimeout+200*time.Millisecond {
		t.Errorf("answered after %v, the timeout is %v", took, testTimeout)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the upstream's connection stays open")
	}
}

// A caller that leaves ends the work on its request at once.
func TestDisconnectedCallerCancelsRequest(t *testing.T) {
	ended := make(chan time.Time, 1)
	f := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.Copy(io.Discard, c)
		ended <- time.Now()
		return false
	})
	g := newHarness(t, newUpstream("u1", "plain", f))
	ctx, leave := context.WithCancel(context.Background())
	go g.call(ctx, "GET", "read.example", "r1", "")
	<-f.received
	left := time.Now()
	leave()
	select {
	case at := <-ended:
		if d := at.Sub(left); d > 300*time.Millisecond {
			t.Errorf("the upstream learned it after %v", d)
		}
	case <-time.After(testTimeout):
		t.Error("the upstream was left working")
	}
}

// The owner of a key refuses it because it has just been moved. The request
// waits for the ownership to be published and runs at the new owner, once.
func TestMovedKeyIsServedByNewOwner(t *testing.T) {
	old := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
		return writeResponse(w, r, 421, "", "X-Not-Run: 1")
	})
	fresh := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "keyed", old), newUpstream("u2", "keyed", fresh))
	g.setOwner("u1", 1)
	go func() {
		<-old.received
		time.Sleep(50 * time.Millisecond)
		g.setOwner("u2", 2)
	}()
	g.get("keyed.example", "r1").want(t, 200, "answer to r1")
	if n := old.requestCount.Load(); n != 1 {
		t.Errorf("the old owner was asked %d times", n)
	}
}

// While a key has no owner its callers are refused soon, told when to come
// back, and nothing is sent anywhere.
func TestKeyWithoutOwnerIsRefusedSoon(t *testing.T) {
	f := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "keyed", f))
	g.setOwner("", 1)
	start := time.Now()
	a := g.get("keyed.example", "r1")
	a.want(t, 503, "")
	if took := time.Since(start); took > testObjective {
		t.Errorf("refused only after %v", took)
	}
	if a.header.Get("Retry-After") == "" || f.requestCount.Load() != 0 {
		t.Error("no Retry-After, or the request was sent")
	}
}

// Before any desired state is known nothing is known to be missing: 503, not
// 404. Afterwards an unknown host is 404.
func TestUnknownRoutes(t *testing.T) {
	g := newHarness(t)
	g.get("nowhere.example", "r1").want(t, 404, "")
	g.views.Publish(func(v *view.View) { v.Desired = nil })
	g.get("read.example", "r2").want(t, 503, "")
}

// The upstream answers before it has read a long body and keeps the
// connection. Another request on that connection would be read as the rest
// of the body; it must go out on a new one.
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
	g := newHarness(t, &catalogue.Upstream{ID: "u1", Service: "plain", Addr: ln.Addr().String(), Slots: 3})
	long := strings.Repeat("x", 8<<20)
	g.call(context.Background(), "POST", "charge.example", "r1", long).want(t, 413, "too long")
	g.post("charge.example", "r2").want(t, 413, "too long")
	if len(conns) != 2 {
		t.Errorf("%d connections for two requests", len(conns))
	}
}

// Time runs out at the upstream, and the connection's deadline is noticed a
// moment before the request's own. The caller is told that time ran out, 504,
// not that the upstream broke off.
func TestConnectionDeadlineCountsAsRequestDeadline(t *testing.T) {
	g := newHarness(t)
	q := &request{route: &desired.Route{MaxAttempts: 2}, outbound: &upstream.Request{}, deadline: time.Now(), attempts: 1, mayHaveRun: true, key: -1}
	res := &upstream.Result{Outcome: upstream.OutcomeUnknown, Err: fmt.Errorf("answer: %w", os.ErrDeadlineExceeded)}
	again, ref := g.d.afterSend(context.Background(), q, res)
	if again || ref == nil || ref.Cause != CauseTimeout || ref.Status != http.StatusGatewayTimeout {
		t.Errorf("again %v, refusal %+v", again, ref)
	}
}
