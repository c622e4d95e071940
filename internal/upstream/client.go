package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/protocol"
)

// Target is where a request is sent.
type Target struct {
	// ID is the upstream's life that the request is meant for; another server
	// at the same address refuses it.
	ID   string
	Addr string
}

// Request is a caller's request, to be sent unchanged.
type Request struct {
	ID     string
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the whole body, or nil if Stream is set.
	Body []byte
	// Stream is the body of a request too large to keep; such a request
	// can be sent once only. Length is its length or -1.
	Stream io.Reader
	Length int64
}

// Outcome is what is known of a request that was to be sent.
type Outcome int

const (
	// NotSent means that no byte of the request left this host.
	NotSent Outcome = iota
	// NotRun means the upstream said that it did not run the request.
	NotRun
	// Answered means the upstream's whole answer is at hand.
	Answered
	// OutcomeUnknown means the request was sent and may have run.
	OutcomeUnknown
)

func (o Outcome) String() string {
	return [...]string{"not sent", "not run", "answered", "unknown"}[o]
}

// Result is the outcome of one send.
type Result struct {
	Outcome Outcome
	// Status, Header and Body are the answer's, if there was one.
	Status int
	Header http.Header
	Body   []byte
	// NewConn says that a connection was opened for the request.
	NewConn bool
	// ConnectTime is how long opening it took.
	ConnectTime time.Duration
	// ConnRejected is set if the upstream took the connection and ended it before
	// anything was sent: it has too many.
	ConnRejected bool
	// Report is what the answer says of the upstream.
	Report feedback.Report
	// Err says why there is no answer.
	Err error
}

// Misdirected reports whether the upstream refused the request because it
// is not the one meant or does not hold the request's key.
func (r *Result) Misdirected() bool { return r.Status == http.StatusMisdirectedRequest }

// Client sends requests over kept connections.
type Client struct {
	headers protocol.Headers
	// Dial opens connections; TCP ones unless it is replaced before the first
	// call.
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error)
	mu    sync.Mutex
	pools map[Target]*pool
}

// NewClient returns a client for upstreams that use the given header names.
func NewClient(h protocol.Headers) *Client {
	d := &net.Dialer{Timeout: dialTimeout, Control: setTCPUserTimeout}
	return &Client{headers: h, Dial: d.DialContext, pools: map[Target]*pool{}}
}

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

// Prune closes the connections that are past their time and all of those to
// upstreams for which keep is false.
func (c *Client) Prune(now time.Time, keep func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, p := range c.pools {
		gone := !keep(t.ID)
		p.closeIdle(now, gone)
		if gone {
			delete(c.pools, t)
		}
	}
}

// Do sends req to t. The upstream is told to stop at the context's
// deadline, which must be set. When ctx ends the connection is closed,
// which makes the upstream drop the work.
func (c *Client) Do(ctx context.Context, t Target, req *Request) *Result {
	p := c.poolFor(t)
	cn := p.get(time.Now())
	fresh := cn == nil
	began := time.Now()
	if fresh {
		var err error
		if cn, err = c.dial(ctx, t.Addr); err != nil {
			return &Result{Outcome: NotSent, NewConn: true, ConnRejected: errors.Is(err, syscall.ECONNRESET),
				Err: eris.Wrapf(err, "upstream %s: connect", t.ID)}
		}
		if err := cn.checkRejected(); err != nil {
			cn.abort()
			return &Result{Outcome: NotSent, NewConn: true, ConnRejected: true, ConnectTime: time.Since(began),
				Err: eris.Wrapf(err, "upstream %s: new connection", t.ID)}
		}
	}
	connect := time.Since(began)
	stop := context.AfterFunc(ctx, cn.abort)
	res, reusable := c.roundTrip(ctx, cn, t, req)
	if res.NewConn = fresh; fresh {
		res.ConnectTime = connect
	}
	if !stop() || !reusable {
		cn.abort()
		if !fresh && res.Outcome == NotSent && ctx.Err() == nil {
			return c.Do(ctx, t, req) // the kept connection had been closed
		}
		return res
	}
	p.put(cn)
	return res
}

// PortClosed reports whether nobody listens at t any more: the process that did
// has ended. A connection that opens is kept for the next request.
func (c *Client) PortClosed(ctx context.Context, t Target) bool {
	cn, err := c.dial(ctx, t.Addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	cn.idleUntil = time.Now().Add(defaultIdleTimeout)
	c.poolFor(t).put(cn)
	return false
}

// roundTrip writes the request and reads its answer. It reports whether the
// connection can be used again.
func (c *Client) roundTrip(ctx context.Context, cn *conn, t Target, req *Request) (*Result, bool) {
	deadline, ok := ctx.Deadline()
	left := time.Until(deadline)
	if !ok || left <= 0 {
		return &Result{Outcome: NotSent, Err: context.DeadlineExceeded}, true
	}
	hreq := c.buildRequest(t, req, left)
	if err := cn.SetDeadline(deadline); err != nil {
		return &Result{Outcome: NotSent, Err: eris.Wrap(err, "set deadline")}, false
	}
	writing := make(chan error, 1)
	if req.Stream == nil {
		writing <- writeRequest(cn, hreq)
	} else {
		go func() { writing <- writeRequest(cn, hreq) }()
	}
	resp, body, err := c.readResponse(cn, hreq, req.ID)
	sent := false
	select {
	case werr := <-writing:
		sent = werr == nil
	default:
	}
	cn.lastRequestID = req.ID
	if err != nil {
		return &Result{Outcome: OutcomeUnknown, Err: eris.Wrapf(err, "upstream %s: answer", t.ID)}, false
	}
	res := &Result{Outcome: Answered, Status: resp.StatusCode, Header: resp.Header, Body: body}
	if resp.Header.Get(c.headers.NotRun) != "" || res.Misdirected() {
		res.Outcome = NotRun
	}
	if !res.Misdirected() { // it may be another server's answer
		res.Report = feedback.Decode(c.headers, res.Status, res.Header)
	}
	// An answer that came before the whole body was sent leaves the rest of
	// the body due on this connection; the next request would be read as
	// that rest. Such a connection is not used again.
	reusable := sent && !resp.Close && cn.br.Buffered() == 0
	if reusable {
		cn.idleUntil = time.Now().Add(idleTimeout(resp.Header))
		reusable = cn.SetDeadline(time.Time{}) == nil
	}
	return res, reusable
}

// buildRequest makes the request as it goes on the wire.
func (c *Client) buildRequest(t Target, req *Request, left time.Duration) *http.Request {
	h := req.Header.Clone()
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	h.Set(c.headers.TimeoutMs, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	h.Set(c.headers.ExpectedUpstream, catalogue.ServerID(t.ID))
	hreq := &http.Request{Method: req.Method, URL: &url.URL{Scheme: "http", Host: req.Host, Opaque: req.URI},
		Host: req.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	switch {
	case req.Stream != nil:
		hreq.Body, hreq.ContentLength = io.NopCloser(req.Stream), req.Length
	case len(req.Body) > 0:
		hreq.Body, hreq.ContentLength = io.NopCloser(bytes.NewReader(req.Body)), int64(len(req.Body))
	}
	return hreq
}

const writeBufferBytes = 16 << 10

func writeRequest(w io.Writer, r *http.Request) error {
	bw := bufio.NewWriterSize(w, writeBufferBytes)
	if err := r.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// MaxAnswerBytes bounds an answer kept in memory. Answers are kept whole so
// that one that breaks off never reaches a caller as if it were complete.
const MaxResponseBytes = 8 << 20

// strays bounds the answers to earlier requests that are passed over.
const maxStrayResponses = 2

var errStrayResponse = errors.New("answer belongs to another request")

// readResponse reads answers until one bears the request's ID. An upstream may
// send a second answer to an earlier request late, where the next answer is
// due; given to this caller it would be somebody else's. An answer without
// an ID is this request's only if the connection has carried no other.
func (c *Client) readResponse(cn *conn, hreq *http.Request, id string) (*http.Response, []byte, error) {
	for range maxStrayResponses + 1 {
		resp, err := http.ReadResponse(cn.br, hreq)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
		if err != nil {
			return nil, nil, err
		}
		if len(body) > MaxResponseBytes {
			return nil, nil, eris.Errorf("answer over %d bytes", MaxResponseBytes)
		}
		got := resp.Header.Get(c.headers.RequestID)
		if got == id || (got == "" && cn.lastRequestID == "") {
			return resp, body, nil
		}
	}
	return nil, nil, errStrayResponse
}

// idleTimeout returns how long a connection may be kept after an answer with
// the given headers.
func idleTimeout(h http.Header) time.Duration {
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(v), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if secs, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(secs) * idleTimeoutFraction * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
