package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/platform"
)

// outcome is the result of one request as its caller received it.
type outcome struct {
	id         string
	host       *Host
	vhost      string
	idempotent bool
	status     int
	body       string
	header     http.Header
	// err is set if no complete response arrived.
	err error
	// responseOptional is set if no check requires a response: the caller may have
	// cancelled the request, or the request is fatal.
	responseOptional bool
	// delayed is set if the response may wait for others on the connection, or for a
	// caller that reads slowly.
	delayed bool
	// followsClose is set if an earlier response on the connection closed it.
	followsClose bool
	began, ended time.Time
}

const (
	// callerPause is the pause between a caller's requests.
	callerPause = 15 * time.Millisecond
	// callerTimeout is the timeout that callers apply to a request.
	callerTimeout = 5 * time.Second
	// requestsPerConnection is how many requests a caller sends to a host over one
	// keep-alive connection before it chooses a host again.
	requestsPerConnection = 60
	// readinessPollInterval is the interval at which the simulated load balancer polls
	// the hosts' readiness. A host that misses maxReadinessMisses polls in a row gets
	// no new connections.
	readinessPollInterval = time.Second
	maxReadinessMisses    = 2
)

// callers simulates callers behind a load balancer and collects the outcomes of their
// requests.
type callers struct {
	hosts           []*Host
	lastID          atomic.Int64
	readinessMisses sync.Map // host name to the number of missed polls in a row, int

	mu       sync.Mutex
	outcomes []*outcome
}

// pollReadiness polls the hosts' readiness until ctx ends. A host that has not been
// ready yet counts as out of rotation.
func (c *callers) pollReadiness(ctx context.Context) {
	hc := &http.Client{Timeout: readinessPollInterval / 2}
	for ctx.Err() == nil {
		for _, h := range c.hosts {
			n := 0
			if !isReady(ctx, hc, h) {
				missed, _ := c.readinessMisses.LoadOrStore(h.Name, maxReadinessMisses)
				n = missed.(int) + 1
			}
			c.readinessMisses.Store(h.Name, n)
		}
		sleep(ctx, readinessPollInterval)
	}
}

// isReady reports whether the host's readiness endpoint responds with 200.
func isReady(ctx context.Context, hc *http.Client, h *Host) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.readyURL, nil)
	if err != nil {
		return false
	}
	resp, err := hc.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pickHost returns a random host in rotation, or any host if none is.
func (c *callers) pickHost(r *rand.Rand) *Host {
	var rotation []*Host
	for _, h := range c.hosts {
		if n, known := c.readinessMisses.Load(h.Name); known && n.(int) < maxReadinessMisses {
			rotation = append(rotation, h)
		}
	}
	if len(rotation) == 0 {
		rotation = c.hosts
	}
	return rotation[r.IntN(len(rotation))]
}

// run simulates one caller until ctx ends. It keeps its connection to a host until a
// request fails, the host closes the connection or requestsPerConnection is reached.
func (c *callers) run(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 99))
	for ctx.Err() == nil {
		h := c.pickHost(r)
		hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerTimeout}
		for range requestsPerConnection {
			o := c.sendRequest(ctx, hc, h, r)
			o.responseOptional = o.responseOptional || ctx.Err() != nil
			c.record(o)
			if o.err != nil || strings.EqualFold(o.header.Get("Connection"), "close") {
				break
			}
			sleep(ctx, callerPause)
		}
		hc.CloseIdleConnections()
	}
}

// record adds an outcome.
func (c *callers) record(o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// readShare and chargeShare are the shares of reads, which are idempotent, and of
// charges, which are not; the rest goes to the service without keys. One request in
// cancelOneIn is cancelled early.
const (
	readShare, chargeShare = 0.5, 0.3
	cancelOneIn            = 40
)

// sendRequest sends a random request through the host and returns its outcome.
func (c *callers) sendRequest(ctx context.Context, hc *http.Client, h *Host, r *rand.Rand) *outcome {
	o := &outcome{id: fmt.Sprint("q-", c.lastID.Add(1)), host: h, began: time.Now()}
	method, vhost := http.MethodPost, unkeyedVHost
	switch x := r.Float64(); {
	case x < readShare:
		method, vhost, o.idempotent = http.MethodGet, readVHost, true
	case x < readShare+chargeShare:
		vhost = chargeVHost
	}
	if r.IntN(cancelOneIn) == 0 {
		o.responseOptional = true
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.IntN(int(2*workTime))))
		defer cancel()
	}
	var body io.Reader
	if method == http.MethodPost {
		body = nonReplayableBody("body of " + o.id)
	}
	o.roundTrip(ctx, hc, method, vhost, normalPath, body, r.IntN(ownership.KeySpaceSize))
	o.ended = time.Now()
	return o
}

// nonReplayableBody returns a request body for which net/http cannot set
// Request.GetBody, as it does for a *strings.Reader. With it, net/http could retry a
// request by itself.
func nonReplayableBody(text string) io.Reader { return io.MultiReader(strings.NewReader(text)) }

// normalPath is the path of requests that crash no upstream.
const normalPath = "/x"

// newRequest returns the request. It has a key if it goes to keyedService.
func (o *outcome) newRequest(ctx context.Context, method, vhost, path string, body io.Reader, key int) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.host.Front.Addr()+path, body)
	if err != nil {
		return nil, err
	}
	o.vhost, req.Host = vhost, vhost
	req.Header.Set(platform.Headers.RequestID, o.id)
	if vhost == readVHost || vhost == chargeVHost {
		req.Header.Set(platform.Headers.Key, strconv.Itoa(key))
	}
	return req, nil
}

// roundTrip sends the request once and stores its result in o.
func (o *outcome) roundTrip(ctx context.Context, hc *http.Client, method, vhost, path string, body io.Reader, key int) {
	req, err := o.newRequest(ctx, method, vhost, path, body, key)
	if err != nil {
		o.err = err
		return
	}
	resp, err := hc.Do(req)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = errors.Join(errors.New("response body interrupted"), err)
		return
	}
	o.status, o.header, o.body = resp.StatusCode, resp.Header, string(data)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
