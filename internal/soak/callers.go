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
	// left is set if the caller left early.
	left         bool
	began, ended time.Time
}

const (
	// callerPause is the pause between a caller's requests.
	callerPause = 15 * time.Millisecond
	// callerPatience is a caller's own time limit.
	callerPatience = 5 * time.Second
	// stayFor is how many requests a caller sends to one host before it
	// moves on, keeping its connection open all the while.
	stayFor = 60
	// pollReady is how often a balancer asks hosts whether they are ready;
	// two misses take one out.
	pollReady = time.Second
	misses    = 2
)

// callers send requests until they are told to stop.
type callers struct {
	hosts []*Host
	seq   atomic.Int64
	out   sync.Map // host name to misses in a row, int

	mu       sync.Mutex
	outcomes []*outcome
}

// balance keeps the hosts that are in rotation.
func (c *callers) balance(ctx context.Context) {
	hc := &http.Client{Timeout: pollReady / 2}
	for ctx.Err() == nil {
		for _, h := range c.hosts {
			n := 0
			if !answersReady(ctx, hc, h) {
				old, _ := c.out.LoadOrStore(h.Name, misses)
				n = old.(int) + 1
			}
			c.out.Store(h.Name, n)
		}
		sleep(ctx, pollReady)
	}
}

func answersReady(ctx context.Context, hc *http.Client, h *Host) bool {
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

// inRotation returns a host that takes new connections.
func (c *callers) inRotation(r *rand.Rand) *Host {
	var in []*Host
	for _, h := range c.hosts {
		if n, known := c.out.Load(h.Name); known && n.(int) < misses {
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
		h := c.inRotation(r)
		hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerPatience}
		for range stayFor {
			o := c.send(ctx, hc, h, r)
			o.left = o.left || ctx.Err() != nil
			c.note(o)
			if o.err != nil || strings.EqualFold(o.header.Get("Connection"), "close") {
				break
			}
			sleep(ctx, callerPause)
		}
		hc.CloseIdleConnections()
	}
}

func (c *callers) note(o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// shares of the kinds of requests; one caller in leaveEarly leaves early.
const (
	readShare, chargeShare = 0.5, 0.3
	leaveEarly             = 40
)

func (c *callers) send(ctx context.Context, hc *http.Client, h *Host, r *rand.Rand) *outcome {
	o := &outcome{id: fmt.Sprint("q-", c.seq.Add(1)), host: h, began: time.Now()}
	method, vhost := http.MethodPost, plainHost
	switch x := r.Float64(); {
	case x < readShare:
		method, vhost, o.idempotent = http.MethodGet, readHost, true
	case x < readShare+chargeShare:
		vhost = chargeHost
	}
	if r.IntN(leaveEarly) == 0 {
		o.left = true
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.IntN(int(2*work))))
		defer cancel()
	}
	var body io.Reader
	if method == http.MethodPost {
		body = bodyOf("body of " + o.id)
	}
	o.exchange(ctx, hc, method, vhost, plainPath, body, r.IntN(ownership.KeySpaceSize))
	o.ended = time.Now()
	return o
}

// bodyOf returns a body that, being no *strings.Reader, keeps net/http from
// sending the request again by itself.
func bodyOf(text string) io.Reader { return io.MultiReader(strings.NewReader(text)) }

// plainPath is the target of requests that end nothing.
const plainPath = "/x"

// exchange sends the request once.
func (o *outcome) exchange(ctx context.Context, hc *http.Client, method, vhost, path string, body io.Reader, key int) {
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
