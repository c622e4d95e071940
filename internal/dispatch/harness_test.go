package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/budget"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/protocol"
	"github.com/papayatide/papayatide/internal/ratelimit"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
)

var testHeaders = protocol.Headers{RequestID: "X-Id", TimeoutMs: "X-Timeout-Ms", Signature: "X-Signature", ExpectedUpstream: "X-Expect",
	NotRun: "X-Not-Run", Key: "X-Key", RateLimit: "X-Limit", Leaving: "X-Leaving", Load: "X-Load"}

// fakeUpstream is an HTTP server that can violate the protocol. Its respond
// function gets each request with its number, counted from 1, and writes any
// bytes as the response; the connection is closed if it returns false.
type fakeUpstream struct {
	ln net.Listener
	// requestCount counts the requests read; received buffers up to 100 of them, and
	// serve blocks while it is full.
	requestCount atomic.Int64
	received     chan *http.Request
}

func startUpstream(t *testing.T, respond func(w io.Writer, c net.Conn, r *http.Request, n int64) bool) *fakeUpstream {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeUpstream{ln: ln, received: make(chan *http.Request, 100)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(c, respond)
		}
	}()
	return f
}

func (f *fakeUpstream) serve(c net.Conn, respond func(io.Writer, net.Conn, *http.Request, int64) bool) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		n := f.requestCount.Add(1)
		f.received <- r
		if !respond(c, c, r, n) {
			return
		}
	}
}

func (f *fakeUpstream) addr() string { return f.ln.Addr().String() }

// writeResponse writes a complete response to r, with extra as further header
// lines, and reports whether it was written.
func writeResponse(w io.Writer, r *http.Request, status int, body string, extra ...string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Length: %d\r\n", status, r.Header.Get("X-Id"), len(body))
	for _, line := range extra {
		head += line + "\r\n"
	}
	_, err := io.WriteString(w, head+"\r\n"+body)
	return err == nil
}

// echo responds with the ID of the request.
func echo(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
	return writeResponse(w, r, 200, "answer to "+r.Header.Get("X-Id"))
}

// harness is a dispatcher behind an HTTP server.
type harness struct {
	d     *Dispatcher
	views *view.Publisher
	front *httptest.Server
	mu    sync.Mutex
	// summaries holds the summary of each finished request; mu protects it.
	summaries []*RequestSummary
}

// Timeout and latency objective of the routes in tests.
const (
	testTimeout   = 800 * time.Millisecond
	testObjective = 400 * time.Millisecond
)

// permitAll is a ratelimit.PermitFunc that returns all permits that are requested.
func permitAll(_ context.Context, _ string, _ float64, want int) (ratelimit.PermitReply, error) {
	return ratelimit.PermitReply{Permits: want}, nil
}

// permitNone is a ratelimit.PermitFunc that returns no permits.
func permitNone(context.Context, string, float64, int) (ratelimit.PermitReply, error) {
	return ratelimit.PermitReply{Wait: time.Second}, nil
}

// newHarness returns a harness with the upstreams ups and three routes: idempotent
// read.example and non-idempotent charge.example to the service plain, and
// idempotent keyed.example to the service keyed. A request has at most 2 attempts.
func newHarness(t *testing.T, ups ...*catalogue.Upstream) *harness {
	t.Helper()
	h := &harness{views: view.NewPublisher()}
	retryBudget := budget.New(budget.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second}, time.Now().Add(-time.Minute))
	h.d = New(testHeaders, "dc1", h.views, upstream.NewClient(testHeaders), balance.NewPicker("h"), retryBudget, crashes.NewTracker(nil), feedback.NewTracker(),
		ratelimit.NewLimiter(ratelimit.Bounds{}, permitAll))
	h.d.OnRequestDone = func(summary *RequestSummary) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.summaries = append(h.summaries, summary)
	}
	route := func(host string, idempotent bool, service string) *desired.Route {
		return &desired.Route{Name: host, Host: host, Prefix: "/", Idempotent: idempotent, Timeout: testTimeout, LatencyObjective: testObjective,
			MaxAttempts: 2, Shares: []desired.Share{{Service: service, Weight: 1}}}
	}
	routes := []*desired.Route{route("read.example", true, "plain"), route("charge.example", false, "plain"), route("keyed.example", true, "keyed")}
	routes[1].LargeBodies = true
	services := map[string]*desired.Service{"plain": {Name: "plain"}, "keyed": {Name: "keyed", Keyed: true}}
	h.views.Publish(func(v *view.View) { v.Desired = desired.New(7, routes, services, desired.Limits{}) })
	h.setUpstreams(ups...)
	h.front = httptest.NewServer(h.d)
	t.Cleanup(h.front.Close)
	return h
}

func (h *harness) setUpstreams(ups ...*catalogue.Upstream) {
	all := map[string]*catalogue.Upstream{}
	for _, u := range ups {
		all[u.ID] = u
	}
	h.views.Publish(func(v *view.View) { v.Upstreams = catalogue.NewSnapshot(all) })
}

// setOwner publishes a table in which the upstream id owns all keys under the
// fencing token; with an empty id they have no owner.
func (h *harness) setOwner(id string, fencingToken int64) {
	table := &ownership.Table{Service: "keyed", MaxFencingToken: fencingToken, Ranges: []ownership.Range{{From: 0, To: ownership.KeySpaceSize - 1, Owner: id, FencingToken: fencingToken}}}
	h.views.Publish(func(v *view.View) { v.Tables = map[string]*ownership.Table{"keyed": table} })
}

func newUpstream(id, service string, f *fakeUpstream) *catalogue.Upstream {
	return &catalogue.Upstream{ID: id, Service: service, Addr: f.addr(), DataCentre: "dc1", Slots: 3}
}

// response is what the caller got; err is the error of the HTTP client.
type response struct {
	status int
	body   string
	header http.Header
	err    error
}

// call sends a request through the front server and reads the response.
func (h *harness) call(ctx context.Context, method, host, id, body string) response {
	return h.callBody(ctx, method, host, id, strings.NewReader(body))
}

func (h *harness) callBody(ctx context.Context, method, host, id string, body io.Reader) response {
	req, err := http.NewRequestWithContext(ctx, method, h.front.URL+"/a//b?q=%2f", body)
	if err != nil {
		return response{err: err}
	}
	req.Host = host
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Key", "77")
	req.Header.Set("X-Timeout-Ms", "5000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(data), resp.Header, err}
}

func (h *harness) get(host, id string) response {
	return h.call(context.Background(), "GET", host, id, "")
}

func (h *harness) post(host, id string) response {
	return h.call(context.Background(), "POST", host, id, "body of "+id)
}

// want ends the test unless the response has the status and, if body is not
// empty, the body.
func (resp response) want(t *testing.T, status int, body string) {
	t.Helper()
	if resp.err != nil || resp.status != status || (body != "" && resp.body != body) {
		t.Fatalf("got %d %q, error %v; want %d %q", resp.status, resp.body, resp.err, status, body)
	}
}
