package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/bodybudget"
	"github.com/papayatide/papayatide/internal/bounded"
	"github.com/papayatide/papayatide/internal/httpclient"
	"github.com/papayatide/papayatide/internal/manifest"
)

// MaxResponseBytes bounds a target's response body.
const MaxResponseBytes = 4 << 20

// ErrNotSent means that the request was not sent. The target can't have run it, so
// it may be retried, or refused with outcome not_run. Callers get the texts of
// ErrNotSent, ErrNoResponse and ErrCrashed in the details of refusals.
var ErrNotSent = errors.New("target: request not sent")

// ErrNoResponse means that the request was sent but no complete response was
// received. The target may have run it, so the client retries only GET and HEAD
// requests.
var ErrNoResponse = errors.New("target: sent, no answer")

// ErrCrashed is wrapped in addition to ErrNoResponse if the target has crashed: its
// address refuses connections.
var ErrCrashed = errors.New("target: ended")

// Request is a caller's request to a target.
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
	// ResponseMemory takes the room for the response's body; the caller releases it. It may be nil.
	ResponseMemory *bodybudget.Reservation
}

// Response is a target's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends requests, grants and health probes to targets. It has a connection
// pool per upstream, limited to the upstream's Connections.
type Client struct {
	// AttemptTimeout bounds the first attempt of a GET or HEAD request, which
	// is then retried on a new connection. Zero disables the second attempt.
	AttemptTimeout time.Duration
	mu             sync.Mutex
	// pools is keyed by upstream address.
	pools map[string]*http.Client
	// unpooled opens a new connection for every request.
	unpooled *http.Client
}

// NewClient returns a client that makes one attempt per request; set AttemptTimeout
// to enable the second.
func NewClient() *Client {
	return &Client{pools: map[string]*http.Client{},
		unpooled: httpclient.New(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes})}
}

// pool returns the HTTP client with the connection pool of u.
func (c *Client) pool(u *manifest.Upstream) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	httpClient := c.pools[u.Addr]
	if httpClient == nil {
		httpClient = httpclient.New(&http.Transport{
			MaxConnsPerHost:     u.Connections,
			MaxIdleConnsPerHost: u.Connections,
			// Closes blackholed connections once they are idle; later requests
			// then open new ones.
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: bounded.MaxHeadBytes,
		})
		c.pools[u.Addr] = httpClient
	}
	return httpClient
}

// Forward sends req to upstream u and returns the complete response. Its errors
// name the upstream and wrap ErrNotSent or ErrNoResponse, the latter with ErrCrashed
// if the target crashed. Only GET and HEAD requests may be sent twice; see the
// package comment.
func (c *Client) Forward(ctx context.Context, u *manifest.Upstream, req *Request) (*Response, error) {
	if c.AttemptTimeout <= 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		resp, err := c.attempt(ctx, c.pool(u), u, req, req.Deadline)
		return resp, c.markCrashed(ctx, u, err)
	}
	firstDeadline := time.Now().Add(c.AttemptTimeout)
	if !req.Deadline.IsZero() && req.Deadline.Before(firstDeadline) {
		firstDeadline = req.Deadline
	}
	resp, err := c.attempt(ctx, c.pool(u), u, req, firstDeadline)
	now := time.Now()
	if err == nil || ctx.Err() != nil || (!req.Deadline.IsZero() && !now.Before(req.Deadline)) {
		return resp, err
	}
	timedOut := !now.Before(firstDeadline)
	if err = c.markCrashed(ctx, u, err); !timedOut && (errors.Is(err, ErrCrashed) || !errors.Is(err, ErrNoResponse)) {
		return nil, err
	}
	resp, err = c.attempt(ctx, c.unpooled, u, req, req.Deadline)
	return resp, c.markCrashed(ctx, u, err)
}

// crashProbeTimeout bounds the connection attempt that shows whether a target has
// crashed. An address without a listener refuses it within a millisecond; an attempt
// that times out does not show a crash.
const crashProbeTimeout = 100 * time.Millisecond

// markCrashed adds ErrCrashed to err if err is a broken send to u and u refuses
// connections. Timeouts and cancelled requests are returned unchanged.
func (c *Client) markCrashed(ctx context.Context, u *manifest.Upstream, err error) error {
	if !errors.Is(err, ErrNoResponse) || errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return err
	}
	dialer := net.Dialer{Timeout: crashProbeTimeout}
	conn, dialErr := dialer.DialContext(ctx, "tcp", u.Addr)
	if dialErr == nil {
		_ = conn.Close() // no data was sent
		return err
	}
	if !errors.Is(dialErr, syscall.ECONNREFUSED) {
		return err
	}
	return errors.Join(ErrCrashed, err)
}

// attempt sends req once through httpClient. Its errors wrap ErrNotSent until the
// request is written, ErrNoResponse afterwards.
func (c *Client) attempt(ctx context.Context, httpClient *http.Client, u *manifest.Upstream, req *Request, deadline time.Time) (*Response, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { wrote.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	url := "http://" + u.Addr + PathWork + req.Service + "/" + req.Key
	// net/http can't replay a body of an unknown type. With a bytes.Reader it
	// would silently retry when a pooled connection breaks, and the request
	// would reach the target's next incarnation.
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, url, io.NopCloser(bytes.NewReader(req.Body)))
	if err != nil {
		return nil, eris.Wrapf(errors.Join(ErrNotSent, err), "forward to %s: build request", u.Name)
	}
	httpReq.ContentLength = int64(len(req.Body))
	httpReq.Header.Set(HeaderShard, strconv.Itoa(req.Shard))
	httpReq.Header.Set(HeaderFencingToken, strconv.FormatInt(req.FencingToken, 10))
	httpReq.Header.Set(HeaderRequestID, req.RequestID)
	httpReq.Header.Set(HeaderKey, req.Key)
	if req.IdempotencyKey != "" {
		httpReq.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
	if !req.Deadline.IsZero() {
		httpReq.Header.Set(HeaderDeadline, strconv.FormatInt(req.Deadline.UnixMilli(), 10))
	}
	resp, err := httpClient.Do(httpReq)
	if err != nil {
		if !wrote.Load() {
			return nil, eris.Wrapf(errors.Join(ErrNotSent, err), "forward to %s", u.Name)
		}
		return nil, eris.Wrapf(errors.Join(ErrNoResponse, err), "forward to %s", u.Name)
	}
	defer resp.Body.Close()
	memory := req.ResponseMemory
	if memory == nil {
		memory = bodybudget.New(math.MaxInt64).Reserve()
	}
	body, err := bodybudget.Read(resp.Body, bodyLength(resp), MaxResponseBytes, memory)
	if err != nil {
		memory.Release()
		return nil, eris.Wrapf(errors.Join(ErrNoResponse, err), "forward to %s: read answer", u.Name)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// bodyLength returns the length of a response's body, -1 if it is not known. That of a response to HEAD
// states the length of another one's.
func bodyLength(resp *http.Response) int64 {
	if resp.Body == http.NoBody {
		return 0
	}
	return resp.ContentLength
}

// SendGrant posts a grant to upstream u. It returns the size of the request body in
// bytes, also if the upstream did not accept the grant.
func (c *Client) SendGrant(ctx context.Context, u *manifest.Upstream, g *Grant) (int, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return 0, eris.Wrapf(err, "grant to %s: encode", u.Name)
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Addr+PathGrant, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrapf(err, "grant to %s", u.Name)
	}
	resp, err := c.pool(u).Do(httpReq)
	if err != nil {
		return len(body), eris.Wrapf(err, "grant to %s", u.Name)
	}
	defer resp.Body.Close()
	if err := bounded.Discard(resp.Body); err != nil {
		return len(body), eris.Wrapf(err, "grant to %s: read answer", u.Name)
	}
	if resp.StatusCode != http.StatusOK {
		return len(body), eris.Errorf("grant to %s: status %d", u.Name, resp.StatusCode)
	}
	return len(body), nil
}

// Probe requests the health endpoint of upstream u. It returns nil if u is healthy.
func (c *Client) Probe(ctx context.Context, u *manifest.Upstream) error {
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Addr+PathHealth, nil)
	if err != nil {
		return eris.Wrapf(err, "probe %s", u.Name)
	}
	resp, err := c.pool(u).Do(httpReq)
	if err != nil {
		return eris.Wrapf(err, "probe %s", u.Name)
	}
	defer resp.Body.Close()
	if err := bounded.Discard(resp.Body); err != nil {
		return eris.Wrapf(err, "probe %s: read answer", u.Name)
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("probe %s: status %d", u.Name, resp.StatusCode)
	}
	return nil
}
