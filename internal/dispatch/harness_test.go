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
	NotRun: "X-Not-Run", Key: "X-Key", RateLimit: "X-Limit", Leaving: "X-Leaving"}

// fakeUpstream speaks HTTP by hand, so that it can misbehave. answer gets
// each request and writes what it likes; false ends the connection.
type fakeUpstream struct {
	ln           net.Listener
	requestCount atomic.Int64
	received     chan *http.Request
}

func startUpstream(t *testing.T, answer func(w io.Writer, c net.Conn, r *http.Request, n int64) bool) *fakeUpstream {
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
			go f.serve(c, answer)
		}
	}()
	return f
}

func (f *fakeUpstream) serve(c net.Conn, answer func(io.Writer, net.Conn, *http.Request, int64) bool) {
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
		if !answer(c, c, r, n) {
			return
		}
	}
}

func (f *fakeUpstream) addr() string { return f.ln.Addr().String() }

// writeResponse writes a complete answer to r.
func writeResponse(w io.Writer, r *http.Request, status int, body string, extra ...string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Length: %d\r\n", status, r.Header.Get("X-Id"), len(body))
	for _, e := range extra {
		head += e + "\r\n"
	}
	_, err := io.WriteString(w, head+"\r\n"+body)
	return err == nil
}

func echo(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
	return writeResponse(w, r, 200, "answer to "+r.Header.Get("X-Id"))
}

// harness is a dispatcher with its front server.
type harness struct {
	d         *Dispatcher
	views     *view.Publisher
	front     *httptest.Server
	mu        sync.Mutex
	summaries []*RequestSummary
}

const (
	testTimeout   = 800 * time.Millisecond
	testObjective = 400 * time.Millisecond
)

// permitAll is an allocator that gives whatever leave is asked for.
func permitAll(_ context.Context, _ string, _ float64, want int) (ratelimit.Permit, error) {
	return ratelimit.Permit{Requests: want}, nil
}

// permitNone is an allocator that never gives leave.
func permitNone(context.Context, string, float64, int) (ratelimit.Permit, error) {
	return ratelimit.Permit{Wait: time.Second}, nil
}

func newHarness(t *testing.T, ups ...*catalogue.Upstream) *harness {
	t.Helper()
	g := &harness{views: view.NewPublisher()}
	bud := budget.New(budget.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second}, time.Now().Add(-time.Minute))
	g.d = New(testHeaders, "dc1", g.views, upstream.NewClient(testHeaders), balance.NewPicker("h"), bud, crashes.NewTracker(nil), feedback.NewTracker(),
		ratelimit.NewLimiter(ratelimit.Bounds{}, permitAll))
	g.d.OnRequestDone = func(e *RequestSummary) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.summaries = append(g.summaries, e)
	}
	route := func(host string, idempotent bool, service string) *desired.Route {
		return &desired.Route{Name: host, Host: host, Prefix: "/", Idempotent: idempotent, Timeout: testTimeout, LatencyObjective: testObjective,
			MaxAttempts: 2, Shares: []desired.Share{{Service: service, Weight: 1}}}
	}
	routes := []*desired.Route{route("read.example", true, "plain"), route("charge.example", false, "plain"), route("keyed.example", true, "keyed")}
	services := map[string]*desired.Service{"plain": {Name: "plain"}, "keyed": {Name: "keyed", Keyed: true}}
	g.views.Publish(func(v *view.View) { v.Desired = desired.New(7, routes, services, desired.Limits{}) })
	g.setUpstreams(ups...)
	g.front = httptest.NewServer(g.d)
	t.Cleanup(g.front.Close)
	return g
}

func (g *harness) setUpstreams(ups ...*catalogue.Upstream) {
	all := map[string]*catalogue.Upstream{}
	for _, u := range ups {
		all[u.ID] = u
	}
	g.views.Publish(func(v *view.View) { v.Upstreams = catalogue.NewSnapshot(all) })
}

// setOwner gives all keys to the upstream.
func (g *harness) setOwner(id string, fence int64) {
	t := &ownership.Table{Service: "keyed", MaxFencingToken: fence, Ranges: []ownership.Range{{From: 0, To: ownership.KeySpaceSize - 1, Owner: id, FencingToken: fence}}}
	g.views.Publish(func(v *view.View) { v.Tables = map[string]*ownership.Table{"keyed": t} })
}

func newUpstream(id, service string, f *fakeUpstream) *catalogue.Upstream {
	return &catalogue.Upstream{ID: id, Service: service, Addr: f.addr(), DataCentre: "dc1", Slots: 3}
}

type response struct {
	status int
	body   string
	header http.Header
	err    error
}

func (g *harness) call(ctx context.Context, method, host, id, body string) response {
	return g.callBody(ctx, method, host, id, strings.NewReader(body))
}

func (g *harness) callBody(ctx context.Context, method, host, id string, body io.Reader) response {
	req, err := http.NewRequestWithContext(ctx, method, g.front.URL+"/a//b?q=%2f", body)
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

func (g *harness) get(host, id string) response {
	return g.call(context.Background(), "GET", host, id, "")
}

func (g *harness) post(host, id string) response {
	return g.call(context.Background(), "POST", host, id, "body of "+id)
}

func (a response) want(t *testing.T, status int, body string) {
	t.Helper()
	if a.err != nil || a.status != status || (body != "" && a.body != body) {
		t.Fatalf("got %d %q, error %v; want %d %q", a.status, a.body, a.err, status, body)
	}
}
