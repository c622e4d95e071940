package upstream

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/bounded"
	"github.com/papayatide/papayatide/internal/catalogue"
)

// Health is what an upstream responds to a health check.
type Health int

const (
	// NoResponse means that the upstream has not responded, or another server has.
	NoResponse Health = iota
	// Healthy means that the upstream considers itself healthy and is not leaving.
	Healthy
	// Unhealthy means that it is leaving, or does not consider itself healthy.
	Unhealthy
	// Busy means that it had no room for the check.
	Busy
	// Unsupported means that it does not implement the check.
	Unsupported
)

func (h Health) String() string {
	return [...]string{"no response", "healthy", "unhealthy", "busy", "unsupported"}[h]
}

// CheckHealth sends a health check to t: a GET request to path. ctx must have a deadline. The check
// opens a connection, which is pooled if the upstream is healthy.
func (c *Client) CheckHealth(ctx context.Context, t Target, path string) (Health, error) {
	cn, err := c.dialAccepted(ctx, t.Addr)
	if err != nil {
		return healthOfFailure(err), eris.Wrapf(err, "upstream %s: connect", t.ID)
	}
	stop := context.AfterFunc(ctx, cn.abort)
	health, reusable, err := c.healthRoundTrip(ctx, cn, t, path)
	if !stop() || !reusable {
		cn.abort()
		return health, eris.Wrapf(err, "upstream %s: health check", t.ID)
	}
	c.poolFor(t).put(cn)
	return health, nil
}

// healthOfFailure returns what a failure to connect shows: upstreams reset the connections that they
// have no room for.
func healthOfFailure(err error) Health {
	if isReset(err) {
		return Busy
	}
	return NoResponse
}

// healthRoundTrip sends the check over cn. It reports whether the connection can be reused.
func (c *Client) healthRoundTrip(ctx context.Context, cn *conn, t Target, path string) (Health, bool, error) {
	deadline, ok := ctx.Deadline()
	if !ok || cn.SetDeadline(deadline) != nil {
		return NoResponse, false, context.DeadlineExceeded
	}
	h := http.Header{"User-Agent": nil}
	h.Set(c.headers.TimeoutMs, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: t.Addr, Path: path}, Host: t.Addr, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if err := writeRequest(cn.ends, req); err != nil {
		return healthOfFailure(err), false, err
	}
	resp, _, err := c.readResponse(cn, req, "", bounded.MaxControlBytes, nil)
	if err != nil {
		return healthOfFailure(err), false, err
	}
	health := c.healthOf(t, resp)
	if health != Healthy || resp.Close || cn.br.Buffered() > 0 {
		return health, false, nil
	}
	cn.idleUntil = time.Now().Add(idleTimeout(resp.Header))
	return health, cn.SetDeadline(time.Time{}) == nil, nil
}

// healthOf returns what a response states.
func (c *Client) healthOf(t Target, resp *http.Response) Health {
	server := resp.Header.Get(c.headers.ServerID)
	notRun := resp.Header.Get(c.headers.NotRun) != ""
	switch {
	case server != "" && server != catalogue.ServerID(t.ID), resp.StatusCode == http.StatusMisdirectedRequest:
		return NoResponse
	case resp.StatusCode == http.StatusOK && server != "":
		return Healthy
	case notRun && (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests):
		return Busy
	case resp.StatusCode == http.StatusServiceUnavailable:
		return Unhealthy
	}
	return Unsupported
}
