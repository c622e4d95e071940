package dispatch

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayatide/papayatide/internal/upstream"
)

// Headers of requests that one host passes on to another, its helper, and of the responses. They are
// read on the listener for other hosts only.
const (
	// forwardedByHeader holds the name of the host that passes the request on, also in the response.
	// attemptsHeader holds the attempts that it has made.
	forwardedByHeader = "Papayatide-Forwarded-By"
	attemptsHeader    = "Papayatide-Attempts"
	// refusalHeader holds the Cause of the helper's refusal; an upstream's response lacks it.
	refusalHeader = "Papayatide-Refusal"
)

const (
	// maxHelpersTried bounds the helpers tried for one request.
	maxHelpersTried = 3
	// helperPause is how long a helper is left out after it could not be used.
	helperPause = 500 * time.Millisecond
	// liveWindow is how recently something must have arrived from an upstream for a host without a
	// helper to go on using its open connections.
	liveWindow = 500 * time.Millisecond
)

var (
	detouredRequests  = metrics.NewCounter(`papayatide_requests_passed_on_total`)
	forwardedRequests = metrics.NewCounter(`papayatide_requests_taken_over_total`)
)

// detours passes requests on to other hosts while this host is cut off from all upstreams.
type detours struct {
	client *upstream.Client
	// host is this host's name.
	host string

	mu sync.Mutex
	// helpers are the addresses (host:port) of hosts that reach upstreams, next is the index of the
	// next one to use, and pausedUntil when those that could not be used may be tried again.
	helpers     []string
	next        int
	pausedUntil map[string]time.Time
}

// SetHelpers replaces the hosts to which requests are passed on, by address (host:port).
func (d *Dispatcher) SetHelpers(addrs []string) {
	d.detours.mu.Lock()
	defer d.detours.mu.Unlock()
	d.detours.helpers = addrs
}

// SetHelperClient sets this host's name and the client for calls to helpers. Without one no request is
// passed on. Call it before the first request.
func (d *Dispatcher) SetHelperClient(host string, c *upstream.Client) {
	d.detours.host, d.detours.client = host, c
}

// PruneHelpers closes idle connections to hosts that are no helpers any more.
func (d *Dispatcher) PruneHelpers(now time.Time) {
	if d.detours.client == nil {
		return
	}
	d.detours.mu.Lock()
	keep := map[string]bool{}
	for _, addr := range d.detours.helpers {
		keep[addr] = true
	}
	d.detours.mu.Unlock()
	d.detours.client.Prune(now, func(id string) bool { return keep[id] })
}

// take returns the helper to use next, "" if none can be used.
func (d *detours) take(now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for range d.helpers {
		addr := d.helpers[d.next%len(d.helpers)]
		d.next++
		if now.After(d.pausedUntil[addr]) {
			return addr
		}
	}
	return ""
}

// pause leaves a helper out for helperPause.
func (d *detours) pause(addr string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, until := range d.pausedUntil {
		if now.After(until) {
			delete(d.pausedUntil, a)
		}
	}
	d.pausedUntil[addr] = now.Add(helperPause)
}

// needsDetour reports whether the request must be passed on or refused because this host is cut off.
func (d *Dispatcher) needsDetour(req *request) bool { return d.Paths.CutOff() && !req.direct }

// detour passes the request on until a helper has served or refused it. If no helper can be used,
// the request is refused, or marked to be sent directly if open connections still work.
func (d *Dispatcher) detour(ctx context.Context, req *request, summary *RequestSummary) (res *upstream.Result, refusal *Refusal) {
	if req.forwarded {
		return nil, req.refusal(CauseCutOff, req.retryAfterOverloaded())
	}
	for range maxHelpersTried {
		now := time.Now()
		addr := ""
		if d.detours.client != nil {
			addr = d.detours.take(now)
		}
		if addr == "" {
			break
		}
		if req.attempts > 0 && !d.retryBudget.AllowRetry(req.service.Name, req.highestPriority, now) {
			return nil, req.noRetryRefusal()
		}
		summary.Via = addr
		res := d.sendToHelper(ctx, req, addr)
		summary.UpstreamTime, summary.ConnectTime = time.Since(now), res.ConnectTime
		res, refusal, done := d.afterDetour(ctx, req, addr, res)
		if done {
			return res, refusal
		}
	}
	if d.Paths.HeardWithin(liveWindow, time.Now()) && req.unsentAttempts < maxUnsentAttempts {
		req.direct = true
		return nil, nil
	}
	return nil, req.refusal(CauseCutOff, req.retryAfterOverloaded())
}

// sendToHelper makes one attempt through a helper.
func (d *Dispatcher) sendToHelper(ctx context.Context, req *request, addr string) *upstream.Result {
	outbound := *req.outbound
	outbound.Header = req.outbound.Header.Clone()
	outbound.Header.Set(forwardedByHeader, d.detours.host)
	outbound.Header.Set(attemptsHeader, strconv.Itoa(req.attempts))
	outbound.ConnectBy = time.Time{}
	if !req.mayHaveRun {
		outbound.ConnectBy = req.refuseBy()
	}
	res := d.detours.client.Do(ctx, upstream.Target{ID: addr, Addr: addr}, &outbound)
	req.lastErr, req.passedOn = res.Err, true
	req.results = append(req.results, res)
	if res.Outcome != upstream.NotSent {
		detouredRequests.Inc()
	}
	return res
}

// afterDetour handles the result of an attempt through a helper. done is false if another helper is
// to be tried.
func (d *Dispatcher) afterDetour(ctx context.Context, req *request, addr string, res *upstream.Result) (_ *upstream.Result, _ *Refusal, done bool) {
	switch res.Outcome {
	case upstream.NotSent:
		d.detours.pause(addr, time.Now())
		if ctx.Err() != nil {
			return nil, d.contextDoneRefusal(ctx, req), true
		}
		return nil, nil, false
	case upstream.OutcomeUnknown:
		req.attempts++
		req.mayHaveRun = true
		// The connection has the context's deadline, and its error may come first.
		if ctx.Err() != nil || errors.Is(res.Err, os.ErrDeadlineExceeded) {
			return nil, d.contextDoneRefusal(ctx, req), true
		}
		d.detours.pause(addr, time.Now())
		if !req.hasAttemptsLeft() || !d.mayRetryAfterRun(req) {
			return nil, refusalWithStatus(CauseBrokenSend, http.StatusBadGateway), true
		}
		return nil, nil, false
	}
	takenOver, cause := res.Header.Get(forwardedByHeader) != "", Cause(res.Header.Get(refusalHeader))
	res.Header.Del(forwardedByHeader)
	res.Header.Del(refusalHeader)
	// A host of an earlier build takes nothing over and runs nothing.
	unusable := !takenOver || cause == CauseCutOff || cause == CauseStopping && guaranteesNotRun(res.Status)
	switch {
	case unusable && req.outbound.Stream != nil: // the stream has been read
		return nil, req.refusal(CauseCutOff, req.retryAfterOverloaded()), true
	case unusable:
		d.detours.pause(addr, time.Now())
		return nil, nil, false
	case cause == "":
		req.attempts++
		return res, nil, true
	case !guaranteesNotRun(res.Status):
		return nil, refusalWithStatus(cause, res.Status), true
	}
	return nil, req.refusedByHelper(cause, res), true
}

// refusedByHelper returns the helper's refusal of a request that has not run there.
func (req *request) refusedByHelper(cause Cause, res *upstream.Result) *Refusal {
	if req.mayHaveRun {
		return refusalWithStatus(CauseBrokenSend, http.StatusBadGateway)
	}
	refusal := notRunRefusal(cause, 0)
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return refusal
}

// ServeForwarded handles a request that another host, which is cut off from all upstreams, passes on.
// It is never passed on again.
func (d *Dispatcher) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	forwardedRequests.Inc()
	made, err := strconv.Atoi(r.Header.Get(attemptsHeader))
	if err != nil || made < 0 {
		made = 0
	}
	by := r.Header.Get(forwardedByHeader)
	w.Header().Set(forwardedByHeader, by)
	r.Header.Del(forwardedByHeader)
	r.Header.Del(attemptsHeader)
	if d.shutdown.begun() {
		w.Header().Set(refusalHeader, string(CauseStopping))
		notRunRefusal(CauseStopping, withJitter(retryAfterTimeout)).write(w, d.headers.RequestID, r.Header.Get(d.headers.RequestID))
		return
	}
	d.serve(w, r, &forwarding{by: by, attempts: made})
}

// IsForwarded reports whether another host passes the request on.
func IsForwarded(r *http.Request) bool { return r.Header.Get(forwardedByHeader) != "" }

// forwarding describes a request that another host passes on.
type forwarding struct {
	by string
	// attempts are those that the other host has made.
	attempts int
}
