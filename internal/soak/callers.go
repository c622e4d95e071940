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

// outcome is what one caller saw of one request.
type outcome struct {
	id         string
	host       *Host
	idempotent bool
	status     int
	body       string
	header     http.Header
	// err is set if there was no whole answer.
	err error
	// canceled is set if the caller left early.
	canceled     bool
	began, ended time.Time
}

const (
	// callerPause is the pause between a caller's requests.
	callerPause = 15 * time.Millisecond
	// callerTimeout is a caller's own time limit.
	callerTimeout = 5 * time.Second
	// requestsPerConnection is how many requests a caller sends to one host before it
	// moves on, keeping its connection open all the while.
	requestsPerConnection = 60
	// readinessPollInterval is how often a balancer asks hosts whether they are ready;
	// two misses take one out.
	readinessPollInterval = time.Second
	maxReadinessMisses    = 2
)

// callers send requests until they are told to stop.
type callers struct {
	hosts           []*Host
	lastID          atomic.Int64
	readinessMisses sync.Map // host name to misses in a row, int

	mu       sync.Mutex
	outcomes []*outcome
}

// pollReadiness keeps the hosts that are in rotation.
func (c *callers) pollReadiness(ctx context.Context) {
	hc := &http.Client{Timeout: readinessPollInterval / 2}
	for ctx.Err() == nil {
		for _, h := range c.hosts {
			n := 0
			if !isReady(ctx, hc, h) {
				old, _ := c.readinessMisses.LoadOrStore(h.Name, maxReadinessMisses)
				n = old.(int) + 1
			}
			c.readinessMisses.Store(h.Name, n)
		}
		sleep(ctx, readinessPollInterval)
	}
}

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

// pickHost returns a host that takes new connections.
func (c *callers) pickHost(r *rand.Rand) *Host {
	var in []*Host
	for _, h := range c.hosts {
		if n, known := c.readinessMisses.Load(h.Name); known && n.(int) < maxReadinessMisses {
			in = append(in, h)
		}
	}
	if len(in) == 0 {
		in = c.hosts
	}
	return in[r.IntN(len(in))]
}

// run is one caller: it stays with a host while its connection works.
func (c *callers) run(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 99))
	for ctx.Err() == nil {
		h := c.pickHost(r)
		hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerTimeout}
		for range requestsPerConnection {
			o := c.sendRequest(ctx, hc, h, r)
			o.canceled = o.canceled || ctx.Err() != nil
			c.record(o)
			if o.err != nil || strings.EqualFold(o.header.Get("Connection"), "close") {
				break
			}
			sleep(ctx, callerPause)
		}
		hc.CloseIdleConnections()
	}
}

func (c *callers) record(o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// shares of the kinds of requests; one caller in leaveEarly leaves early.
const (
	readShare, chargeShare = 0.5, 0.3
	cancelOneIn            = 40
)

func (c *callers) sendRequest(ctx context.Context, hc *http.Client, h *Host, r *rand.Rand) *outcome {
	o := &outcome{id: fmt.Sprint("q-", c.lastID.Add(1)), host: h, began: time.Now()}
	method, vhost := http.MethodPost, plainHost
	switch x := r.Float64(); {
	case x < readShare:
		method, vhost, o.idempotent = http.MethodGet, readHost, true
	case x < readShare+chargeShare:
		vhost = chargeHost
	}
	if r.IntN(cancelOneIn) == 0 {
		o.canceled = true
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

// nonReplayableBody returns a body that, being no *strings.Reader, keeps net/http from
// sending the request again by itself.
func nonReplayableBody(text string) io.Reader { return io.MultiReader(strings.NewReader(text)) }

// plainPath is the target of requests that end nothing.
const normalPath = "/x"

// roundTrip sends the request once.
func (o *outcome) roundTrip(ctx context.Context, hc *http.Client, method, vhost, path string, body io.Reader, key int) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.host.Front.Addr()+path, body)
	if err != nil {
		o.err = err
		return
	}
	req.Host = vhost
	req.Header.Set(platform.Headers.RequestID, o.id)
	if vhost != plainHost {
		req.Header.Set(platform.Headers.Key, strconv.Itoa(key))
	}
	resp, err := hc.Do(req)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = errors.Join(errors.New("answer broke off"), err)
		return
	}
	o.status, o.header, o.body = resp.StatusCode, resp.Header, string(data)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
