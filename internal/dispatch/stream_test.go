package dispatch

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/view"
)

const (
	streamedLength = 2 << 20
	streamedPart   = 100 << 10
)

// streamHarness returns a harness with limited bodies and a route timeout that does not end the
// attempts of the tests below.
func streamHarness(t *testing.T, ups ...*catalogue.Upstream) *harness {
	t.Helper()
	h := newHarness(t, ups...)
	h.views.Publish(func(v *view.View) { v.Desired.Match("charge.example", "/").Timeout = 5 * time.Second })
	h.limitBodies(t, streamedLength)
	return h
}

// startRawUpstream starts an upstream that passes each connection, after the head of its first
// request, to handle.
func startRawUpstream(t *testing.T, handle func(c net.Conn, br *bufio.Reader, r *http.Request)) *catalogue.Upstream {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				if r, err := http.ReadRequest(br); err == nil {
					handle(c, br, r)
				}
			}()
		}
	}()
	return &catalogue.Upstream{ID: "u1", Service: "plain", Addr: ln.Addr().String(), DataCentre: "dc1", Slots: 3}
}

// Guards against an early response that is held until the body is complete, and against bytes of
// another request that the upstream reads on that connection as part of the body.
func TestResponseBeforeTheWholeBody(t *testing.T) {
	chunks := strings.Repeat("10000\r\n"+strings.Repeat("x", 0x10000)+"\r\n", 5)
	for _, c := range []struct {
		name, part, extra, want string
		length, status          int
	}{
		{"stated length", strings.Repeat("x", streamedPart), "X-Final: 1", "too long", streamedLength, 413},
		{"chunked", chunks, "X-Final: 1", "too long", -1, 413},
		{"not run", strings.Repeat("x", streamedPart), "X-Not-Run: 1", string(CauseOverloaded) + "\n", streamedLength, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			rest := make(chan []byte, 8)
			h := streamHarness(t, startRawUpstream(t, func(conn net.Conn, br *bufio.Reader, r *http.Request) {
				writeResponse(conn, r, c.status, "too long", c.extra)
				data, _ := io.ReadAll(br) // ends when the connection does
				rest <- data
			}))
			first := h.startPost(t, "charge.example", "r1", c.length, c.part)
			resp, took := first.answer(t)
			resp.want(t, c.status, c.want)
			if took > streamStallTimeout/2 || resp.header.Get("Connection") != "close" || (c.status == 503) != (resp.header.Get("Retry-After") != "") {
				t.Errorf("answered after %v, headers %v", took, resp.header)
			}
			second := h.startPost(t, "charge.example", "r2", c.length, c.part)
			_, _ = io.WriteString(first, c.part) // the rest of the first body
			resp, _ = second.answer(t)
			resp.want(t, c.status, c.want)
			for range 2 {
				select {
				case data := <-rest:
					if i := bytes.Index(data, []byte("POST")); i >= 0 {
						t.Errorf("the upstream read %q where the body was due", data[i:min(i+60, len(data))])
					}
				case <-time.After(2 * time.Second):
					t.Fatal("the connection stays open, or both requests used it")
				}
			}
			h.wantBudgetFree(t)
		})
	}
}

// Guards against a stalled caller that holds the upstream's slot until the deadline, counts as the
// upstream's fault, or is told that its request did not run: the upstream may have acted on a part.
func TestCallerThatStopsSendingEndsTheAttempt(t *testing.T) {
	ended := make(chan time.Time, 8)
	h := streamHarness(t, startRawUpstream(t, func(_ net.Conn, br *bufio.Reader, _ *http.Request) {
		_, _ = io.Copy(io.Discard, br)
		ended <- time.Now()
	}))
	for i := range 3 {
		c := h.startPost(t, "charge.example", fmt.Sprint("r", i), streamedLength, strings.Repeat("x", streamedPart))
		sent := time.Now()
		resp, took := c.answer(t)
		resp.want(t, 502, string(CauseCallerStalled)+"\n")
		if took < streamStallTimeout*9/10 || took > 2*streamStallTimeout {
			t.Errorf("ended after %v", took)
		}
		select {
		case at := <-ended:
			if at.Sub(sent) > 2*streamStallTimeout {
				t.Errorf("the upstream was free after %v", at.Sub(sent))
			}
		case <-time.After(time.Second):
			t.Error("the upstream still holds the request")
		}
	}
	if s := h.d.picker.Limiter("u1").State(); s.InFlight != 0 || h.d.picker.IsEjected("u1", time.Now()) || h.d.crashes.HasCrashes() {
		t.Errorf("limiter %+v, or the upstream is blamed", s)
	}
	h.wantBudgetFree(t)
}

// A caller that sends slowly but makes progress must be served, although its body takes longer than
// streamStallTimeout.
func TestSlowCallerIsServed(t *testing.T) {
	f := startUpstream(t, echo)
	h := streamHarness(t, newUpstream("u1", "plain", f))
	const pieces = 6
	c := h.startPost(t, "charge.example", "r1", pieces*streamedPart, "")
	for range pieces {
		time.Sleep(streamStallTimeout / 4)
		if _, err := io.WriteString(c, strings.Repeat("x", streamedPart)); err != nil {
			t.Fatal(err)
		}
	}
	resp, _ := c.answer(t)
	resp.want(t, 200, "answer to r1")
	c.post(t, "charge.example", "r2", 3, "abc") // the deadlines of the reads must not outlive the body
	resp, _ = c.answer(t)
	resp.want(t, 200, "answer to r2")
}

// A caller stops sending a body that is buffered. It must not hold the host's budget beyond the
// request's deadline.
func TestCallerThatStopsSendingFreesTheBudget(t *testing.T) {
	h := newHarness(t, newUpstream("u1", "plain", startUpstream(t, echo)))
	h.limitBodies(t, streamedLength)
	for _, length := range []int{streamedPart, -1} {
		c := h.startPost(t, "charge.example", "r1", length, "")
		resp, took := c.answer(t)
		resp.want(t, 503, string(CauseTimeoutUnsent)+"\n")
		if took > 2*testTimeout {
			t.Errorf("ended after %v", took)
		}
		h.wantBudgetFree(t)
	}
}

// stalledReader blocks until it is closed, like net/http in a host that gets no CPU.
type stalledReader chan struct{}

func (r stalledReader) Read([]byte) (int, error) {
	<-r
	return 0, io.EOF
}

// The host itself is stalled while the caller's bytes wait in the socket. That must not count as the
// caller's stall, or a host that was frozen for a second fails all uploads in flight.
func TestStallOfTheHostIsNotTheCallers(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	for _, sent := range []string{"x", ""} {
		caller, dialErr := net.Dial("tcp4", ln.Addr().String())
		conn, err := ln.Accept()
		if err := errors.Join(dialErr, err); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(caller, sent)
		source, done := make(stalledReader), make(chan struct{})
		b := &callerBody{source: source, conn: conn, left: 10}
		b.startStreaming()
		go func() {
			_, _ = b.Read(make([]byte, 1))
			close(done)
		}()
		time.Sleep(streamStallTimeout * 3 / 2)
		if b.hasStalled() != (sent == "") {
			t.Errorf("%q waits in the socket: stalled %v", sent, b.hasStalled())
		}
		close(source)
		<-done
		_, _ = caller.Close(), conn.Close()
	}
}
