package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/manifest"
)

// MaxAnswerBytes bounds an answer body read from a target.
const MaxResponseBytes = 4 << 20

// ErrNotSent means the request never left papayatide: the target cannot
// have run it, so it may be retried or refused as not run.
var ErrNotSent = errors.New("target: request not sent")

// ErrNoAnswer means the request was sent but no whole answer came back: the
// target may have run it, so a non-idempotent one must not be retried.
var ErrNoResponse = errors.New("target: sent, no answer")

// ErrEnded is wrapped besides ErrNoAnswer where the target itself has ended:
// nobody listens at its address any more.
var ErrCrashed = errors.New("target: ended")

// Request is one caller request bound for a target.
type Request struct {
	Method         string
	Service        string
	Key            string
	Body           []byte
	Shard          int
	FencingToken   int64
	IdempotencyKey string
	RequestID      string
	Deadline       time.Time
}

// Response is a target's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client forwards to targets over pooled connections, one pool per upstream
// sized by the upstream's connection limit.
type Client struct {
	// AttemptTimeout bounds the first attempt of an idempotent request;
	// past it the request is tried once more on a new connection. Zero
	// disables the second attempt.
	AttemptTimeout time.Duration
	mu             sync.Mutex
	pools          map[string]*http.Client
	// unpooled dials a new connection for every request.
	unpooled *http.Client
}

// NewClient returns a target client.
func NewClient() *Client {
	return &Client{pools: map[string]*http.Client{},
		unpooled: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (c *Client) pool(u *manifest.Upstream) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	hc := c.pools[u.Addr]
	if hc == nil {
		hc = &http.Client{Transport: &http.Transport{
			MaxConnsPerHost:     u.Connections,
			MaxIdleConnsPerHost: u.Connections,
			// A connection that went silent is found when it idles out
			// rather than kept forever; new requests then dial afresh.
			IdleConnTimeout: 30 * time.Second,
		}}
		c.pools[u.Addr] = hc
	}
	return hc
}

// Forward sends req to upstream u and returns the whole answer. Its errors
// wrap ErrNotSent or ErrNoAnswer and name the upstream.
//
// An idempotent request whose first attempt gets no answer within
// AttemptTimeout is sent once more on a new connection. This is the remedy
// for pooled connections that went silent for good (something between the
// two ends lost track of them): without it such a request waits out the
// caller's whole deadline although new connections work. So is one
// whose pooled connection broke off, unless the target has ended.
// Non-idempotent work is never sent twice.
func (c *Client) Forward(ctx context.Context, u *manifest.Upstream, req *Request) (*Response, error) {
	if c.AttemptTimeout <= 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		resp, err := c.attempt(ctx, c.pool(u), u, req, req.Deadline)
		return resp, c.markCrashed(ctx, u, err)
	}
	first := time.Now().Add(c.AttemptTimeout)
	if !req.Deadline.IsZero() && req.Deadline.Before(first) {
		first = req.Deadline
	}
	resp, err := c.attempt(ctx, c.pool(u), u, req, first)
	now := time.Now()
	if err == nil || ctx.Err() != nil || (!req.Deadline.IsZero() && !now.Before(req.Deadline)) {
		return resp, err
	}
	timedOut := !now.Before(first)
	if err = c.markCrashed(ctx, u, err); !timedOut && (errors.Is(err, ErrCrashed) || !errors.Is(err, ErrNoResponse)) {
		return nil, err
	}
	resp, err = c.attempt(ctx, c.unpooled, u, req, req.Deadline)
	return resp, c.markCrashed(ctx, u, err)
}

// askWhetherEnded bounds the question whether a target has ended; a listener
// that is gone refuses in a millisecond.
const crashProbeTimeout = 100 * time.Millisecond

// markCrashed wraps ErrEnded into the error of a request that was sent and broke
// off, if the target has ended.
func (c *Client) markCrashed(ctx context.Context, u *manifest.Upstream, err error) error {
	if !errors.Is(err, ErrNoResponse) || errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return err
	}
	d := net.Dialer{Timeout: crashProbeTimeout}
	conn, dialErr := d.DialContext(ctx, "tcp", u.Addr)
	if dialErr == nil {
		_ = conn.Close() // nothing was sent on it
		return err
	}
	if !errors.Is(dialErr, syscall.ECONNREFUSED) {
		return err
	}
	return errors.Join(ErrCrashed, err)
}

func (c *Client) attempt(ctx context.Context, hc *http.Client, u *manifest.Upstream, req *Request, deadline time.Time) (*Response, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { wrote.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	url := "http://" + u.Addr + PathWork + req.Service + "/" + req.Key
	// A body of no type that net/http knows keeps it from sending the request
	// again by itself, unseen, when a pooled connection breaks off: it would
	// reach the target's next life.
	hr, err := http.NewRequestWithContext(ctx, req.Method, url, io.NopCloser(bytes.NewReader(req.Body)))
	if err != nil {
		return nil, eris.Wrapf(errors.Join(ErrNotSent, err), "forward to %s: build request", u.Name)
	}
	hr.ContentLength = int64(len(req.Body))
	hr.Header.Set(HeaderShard, strconv.Itoa(req.Shard))
	hr.Header.Set(HeaderFencingToken, strconv.FormatInt(req.FencingToken, 10))
	hr.Header.Set(HeaderRequestID, req.RequestID)
	hr.Header.Set(HeaderKey, req.Key)
	if req.IdempotencyKey != "" {
		hr.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
	if !req.Deadline.IsZero() {
		hr.Header.Set(HeaderDeadline, strconv.FormatInt(req.Deadline.UnixMilli(), 10))
	}
	resp, err := hc.Do(hr)
	if err != nil {
		if !wrote.Load() {
			return nil, eris.Wrapf(errors.Join(ErrNotSent, err), "forward to %s", u.Name)
		}
		return nil, eris.Wrapf(errors.Join(ErrNoResponse, err), "forward to %s", u.Name)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return nil, eris.Wrapf(errors.Join(ErrNoResponse, err), "forward to %s: read answer", u.Name)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// SendGrant posts a grant to upstream u and returns the body's size in
// bytes.
func (c *Client) SendGrant(ctx context.Context, u *manifest.Upstream, g *Grant) (int, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return 0, eris.Wrapf(err, "grant to %s: encode", u.Name)
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Addr+PathGrant, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrapf(err, "grant to %s", u.Name)
	}
	resp, err := c.pool(u).Do(hr)
	if err != nil {
		return len(body), eris.Wrapf(err, "grant to %s", u.Name)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return len(body), eris.Errorf("grant to %s: status %d", u.Name, resp.StatusCode)
	}
	return len(body), nil
}

// Probe asks upstream u's health endpoint; nil means healthy.
func (c *Client) Probe(ctx context.Context, u *manifest.Upstream) error {
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Addr+PathHealth, nil)
	if err != nil {
		return eris.Wrapf(err, "probe %s", u.Name)
	}
	resp, err := c.pool(u).Do(hr)
	if err != nil {
		return eris.Wrapf(err, "probe %s", u.Name)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("probe %s: status %d", u.Name, resp.StatusCode)
	}
	return nil
}
