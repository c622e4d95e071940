package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/bodybudget"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/protocol"
)

// Target is the upstream that a request is sent to.
type Target struct {
	// ID is the upstream's ID, which identifies one incarnation. A different server at
	// the same address responds 421 Misdirected Request and does not run the request.
	ID string
	// Addr is the upstream's address (host:port).
	Addr string
}

// Request is a caller's request, to be forwarded.
type Request struct {
	ID     string
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the whole body, or nil if Stream is set.
	Body []byte
	// Stream is the body of a request too large to buffer; such a request can be sent
	// only once. Length is its length in bytes, or -1 if unknown.
	Stream io.Reader
	Length int64
	// ConnectBy is when the attempt ends unless its connection is open, so that the caller's
	// refusal reaches it in time; zero if the deadline of the context is the only limit.
	ConnectBy time.Time
}

// Outcome is what is known about whether the upstream ran a request.
type Outcome int

const (
	// NotSent means that no byte of the request left this host.
	NotSent Outcome = iota
	// NotRun means that the upstream's response states that it did not run the request.
	NotRun
	// Answered means that the whole response was received.
	Answered
	// OutcomeUnknown means that the request may have been sent and run.
	OutcomeUnknown
)

func (o Outcome) String() string {
	return [...]string{"not sent", "not run", "answered", "unknown"}[o]
}

// Result is the result of one attempt.
type Result struct {
	Outcome Outcome
	// Status, Header and Body are those of the response, if one was received.
	Status int
	Header http.Header
	Body   []byte
	// NewConn is set if the attempt opened a connection or tried to.
	NewConn bool
	// ConnectTime is how long opening the connection took.
	ConnectTime time.Duration
	// ConnOpenedAt is when the connection of the attempt was opened; zero if there was none.
	ConnOpenedAt time.Time
	// ConnRejected is set if a new connection was reset or closed, or received data,
	// before the request was sent; usually the upstream has too many connections.
	ConnRejected bool
	// Report is the state that the upstream reports in the response headers.
	Report feedback.Report
	// Err is the reason why there is no response.
	Err error
	// memory is reserved for Body.
	memory *bodybudget.ResponseReservation
}

// Release gives back the memory that is reserved for the body, which must not be used any more.
// Further calls have no effect.
func (r *Result) Release() { r.memory.Release() }

// Misdirected reports whether the response is 421 Misdirected Request: the server is
// not the expected upstream or does not own the request's key.
func (r *Result) Misdirected() bool { return r.Status == http.StatusMisdirectedRequest }

// Client sends requests to upstreams over persistent connections. It is safe for
// concurrent use.
type Client struct {
	headers protocol.Headers
	// Dial opens connections, by default TCP ones. It may be replaced before the first
	// call.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Responses bounds the memory for responses; nil for no bound. Set it before the first call.
	Responses *bodybudget.Responses
	// IdleTimeouts are those that responses state.
	IdleTimeouts IdleTimeouts

	mu    sync.Mutex
	pools map[Target]*pool
}

// NewClient returns a client for upstreams that use the header names in h.
func NewClient(h protocol.Headers) *Client {
	return &Client{headers: h, Dial: NewDialer().DialContext, pools: map[Target]*pool{}}
}

// NewDialer returns the dialer of TCP connections to upstreams.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, Control: setTCPUserTimeout}
}

// poolFor returns the pool of t and creates it if necessary.
func (c *Client) poolFor(t Target) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[t]
	if p == nil {
		p = &pool{}
		c.pools[t] = p
	}
	return p
}

// Prune closes idle connections whose idle timeout has passed and all idle ones to
// upstreams for which keep returns false.
func (c *Client) Prune(now time.Time, keep func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, p := range c.pools {
		removed := !keep(t.ID)
		p.closeIdle(now, removed)
		if removed {
			delete(c.pools, t)
		}
	}
}

// Do sends req to t. ctx must have a deadline, which is sent to the upstream as the
// request's timeout. When ctx ends the connection is reset, which makes the upstream
// abandon the request.
func (c *Client) Do(ctx context.Context, t Target, req *Request) *Result {
	p := c.poolFor(t)
	cn := p.get(time.Now())
	if cn != nil && req.ID != "" && cn.lastRequestID == req.ID {
		// A second response to the earlier attempt would be taken for that to this one.
		cn.abort()
		cn = nil
	}
	newConn := cn == nil
	dialStart := time.Now()
	if newConn {
		var err error
		if cn, err = c.dialBy(ctx, req.ConnectBy, t.Addr); err != nil {
			return &Result{Outcome: NotSent, NewConn: true, ConnRejected: errors.Is(err, syscall.ECONNRESET),
				Err: eris.Wrapf(err, "upstream %s: connect", t.ID)}
		}
		if err := cn.checkRejected(time.Since(dialStart)); err != nil {
			cn.abort()
			return &Result{Outcome: NotSent, NewConn: true, ConnRejected: true, ConnectTime: time.Since(dialStart),
				Err: eris.Wrapf(err, "upstream %s: check new connection", t.ID)}
		}
	}
	connectTime := time.Since(dialStart)
	stop := context.AfterFunc(ctx, cn.abort)
	res, reusable := c.roundTrip(ctx, cn, t, req)
	res.ConnOpenedAt = cn.openedAt
	if res.NewConn = newConn; newConn {
		res.ConnectTime = connectTime
	} else {
		res.ConnRejected = false // The upstream had accepted the connection.
	}
	if !stop() || !reusable {
		cn.abort()
		if !newConn && res.Outcome == NotSent && ctx.Err() == nil {
			return c.Do(ctx, t, req) // the pooled connection had been closed
		}
		return res
	}
	p.put(cn)
	return res
}

// ClosedIdle describes idle connections that an upstream has closed before their idle timeout.
type ClosedIdle struct {
	Target
	// AllOlder is set if no idle connection is open that is older than a closed one's last use.
	AllOlder bool
}

// ClosedIdle returns the upstreams that have closed the most recently used idle connection, or all
// that are older than a closed one's last use: their processes may have ended.
func (c *Client) ClosedIdle(now time.Time) []ClosedIdle {
	c.mu.Lock()
	pools := maps.Clone(c.pools)
	c.mu.Unlock()
	var out []ClosedIdle
	for t, p := range pools {
		if found, allOlder := p.closedByUpstream(now); found || allOlder {
			out = append(out, ClosedIdle{t, allOlder})
		}
	}
	return out
}

// HasOpenConnection reports whether an idle connection to t is open that was opened by the given
// time. The end of a process closes all of its connections.
func (c *Client) HasOpenConnection(t Target, openedBy time.Time) bool {
	return c.poolFor(t).hasOpen(openedBy)
}

// RefusesConnections reports whether t refuses connections. It keeps none open: an upstream that
// closes idle connections early would soon close that one too.
func (c *Client) RefusesConnections(ctx context.Context, t Target) bool {
	nc, err := c.Dial(ctx, "tcp4", t.Addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close()
	return false
}

// Connect opens a connection to t and pools it for the next request. It fails if t does not accept
// the connection, or ends it at once.
func (c *Client) Connect(ctx context.Context, t Target) error {
	cn, err := c.dialAccepted(ctx, t.Addr)
	if err != nil {
		return err
	}
	cn.idleUntil = time.Now().Add(defaultIdleTimeout)
	c.poolFor(t).put(cn)
	return nil
}

// roundTrip writes the request and reads the response. It reports whether the connection
// can be reused.
func (c *Client) roundTrip(ctx context.Context, cn *conn, t Target, req *Request) (*Result, bool) {
	deadline, ok := ctx.Deadline()
	remaining := time.Until(deadline)
	if !ok || remaining <= 0 {
		return &Result{Outcome: NotSent, Err: context.DeadlineExceeded}, true
	}
	httpReq := c.buildRequest(t, req, remaining)
	if err := cn.SetDeadline(deadline); err != nil {
		return &Result{Outcome: NotSent, Err: eris.Wrap(err, "set deadline")}, false
	}
	writeDone := make(chan error, 1)
	if req.Stream == nil {
		w := countingWriter{w: cn.ends}
		err := writeRequest(&w, httpReq)
		if err != nil && w.written == 0 {
			return &Result{Outcome: NotSent, ConnRejected: isReset(err), Err: eris.Wrapf(err, "upstream %s: write request", t.ID)}, false
		}
		writeDone <- err
	} else {
		// A stream cannot be read again, so that a failure to write it never counts as NotSent.
		go func() { writeDone <- writeRequest(cn.ends, httpReq) }()
	}
	memory := c.Responses.Reserve(t.ID)
	resp, body, err := c.readResponse(cn, httpReq, req.ID, MaxResponseBytes, memory)
	sent := false
	select {
	case writeErr := <-writeDone:
		sent = writeErr == nil
	default:
	}
	cn.lastRequestID = req.ID
	if err != nil {
		return &Result{Outcome: OutcomeUnknown, Err: eris.Wrapf(err, "upstream %s: read response", t.ID)}, false
	}
	res := &Result{Outcome: Answered, Status: resp.StatusCode, Header: resp.Header, Body: body, memory: memory}
	if resp.Header.Get(c.headers.NotRun) != "" || res.Misdirected() {
		res.Outcome = NotRun
	}
	if !res.Misdirected() { // otherwise another server may have sent the response
		res.Report = feedback.Decode(c.headers, res.Status, res.Header)
	}
	// If the response came before the whole body was sent, the connection cannot be
	// reused: the upstream would read the next request as the rest of the body.
	reusable := sent && !resp.Close && cn.br.Buffered() == 0
	if reusable {
		c.IdleTimeouts.Record(resp.Header)
		cn.idleUntil = time.Now().Add(idleTimeout(resp.Header))
		reusable = cn.SetDeadline(time.Time{}) == nil
	}
	return res, reusable
}

// buildRequest returns req as an HTTP request to t, with the timeout and expected-upstream
// headers set.
func (c *Client) buildRequest(t Target, req *Request, timeout time.Duration) *http.Request {
	h := req.Header.Clone()
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // prevents net/http from adding its own
	}
	h.Set(c.headers.TimeoutMs, strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	h.Set(c.headers.ExpectedUpstream, catalogue.ServerID(t.ID))
	target, _ := requestTarget(req.URI)
	httpReq := &http.Request{Method: req.Method, URL: target,
		Host: req.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	switch {
	case req.Stream != nil:
		httpReq.Body, httpReq.ContentLength = io.NopCloser(req.Stream), req.Length
	case len(req.Body) > 0:
		httpReq.Body, httpReq.ContentLength = io.NopCloser(bytes.NewReader(req.Body)), int64(len(req.Body))
	}
	return httpReq
}

// CanForward reports whether a request target can be sent as it is.
func CanForward(uri string) bool {
	_, ok := requestTarget(uri)
	return ok
}

// requestTarget returns a URL that is sent as uri, the request target as a caller sent it. It reports
// whether that is so.
func requestTarget(uri string) (*url.URL, bool) {
	if !strings.HasPrefix(uri, "//") {
		return &url.URL{Scheme: "http", Opaque: uri}, true
	}
	// net/http would send an opaque part with two slashes as an absolute URL, whose host counts.
	path, query, hasQuery := strings.Cut(uri, "?")
	unescaped, err := url.PathUnescape(path)
	u := &url.URL{Path: unescaped, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
	return u, err == nil && u.RequestURI() == uri
}

// countingWriter counts the bytes that w has accepted. If the kernel has accepted none of a
// request, none can have reached the upstream.
type countingWriter struct {
	w       io.Writer
	written int
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.written += n
	return n, err
}

// isReset reports whether the peer has reset the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

const writeBufferBytes = 16 << 10

// writeRequest writes the request to w through one buffer.
func writeRequest(w io.Writer, r *http.Request) error {
	bw := bufio.NewWriterSize(w, writeBufferBytes)
	if err := r.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}
