package dispatch

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/upstream"
)

// BrokenSend describes a broken send for logs: the connection broke before a whole
// response was read, so the request may have run.
type BrokenSend struct {
	ID, Service, Upstream string
	// Key is -1 for services that are not keyed.
	Key          int
	FencingToken int64
	// Fingerprint identifies requests with the same content.
	Fingerprint  crashes.Fingerprint
	UpstreamTime time.Duration
	Err          error
	// Crashed is set if the upstream's port was found closed right after the broken
	// send. Crashes is then the number of upstreams that this host knows to have crashed
	// while they ran a request with the fingerprint.
	Crashed bool
	Crashes int
}

// isBrokenSend reports whether the attempt may have been sent and no whole response was
// read, although neither the caller, the deadline nor this host ended it.
func isBrokenSend(ctx context.Context, res *upstream.Result) bool {
	return res.Outcome == upstream.OutcomeUnknown && ctx.Err() == nil && !errors.Is(res.Err, os.ErrDeadlineExceeded) &&
		!errors.Is(res.Err, upstream.ErrResponseTooLarge) && !errors.Is(res.Err, upstream.ErrNoMemory)
}

var lostConnections = metrics.NewCounter(`papayatide_upstream_connections_lost_total`)

// crashCheckTimeout bounds the check of whether an upstream crashed, which delays the
// caller's next attempt. A closed port refuses within a millisecond or two.
const crashCheckTimeout = 100 * time.Millisecond

// brokenCheck is what was found of an upstream right after a broken send.
type brokenCheck struct {
	// sameProcess is set if a connection older than the send is open.
	sameProcess bool
	// err is why no new connection opened; nil if one did.
	err error
}

// checkBrokenSend checks at once, before any retry, whether the upstream crashed: after a crash a
// new incarnation listens at the same address within about a second.
func (d *Dispatcher) checkBrokenSend(ctx context.Context, u *catalogue.Upstream, took time.Duration) *brokenCheck {
	if d.Paths.CutOff() {
		return &brokenCheck{}
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	target := upstream.Target{ID: u.ID, Addr: u.Addr}
	check := &brokenCheck{sameProcess: d.client.HasOpenConnection(target, time.Now().Add(-took))}
	check.err = d.client.Connect(ctx, target)
	return check
}

// portClosed reports whether the upstream refused a new connection.
func (c *brokenCheck) portClosed() bool { return errors.Is(c.err, syscall.ECONNREFUSED) }

// recordBrokenSend records a broken send and what the check right after it showed. If the port is open
// the send goes to unresolvedBrokenSends.
func (d *Dispatcher) recordBrokenSend(req *request, u *catalogue.Upstream, took time.Duration, check *brokenCheck) {
	broken := &BrokenSend{ID: req.outbound.ID, Service: req.service.Name, Upstream: u.ID, Key: req.key, FencingToken: req.lastFencingToken,
		Fingerprint: req.fingerprint(), UpstreamTime: took, Err: req.lastErr, Crashed: check.portClosed()}
	now := time.Now()
	if broken.Crashed {
		d.recordUpstreamCrash(u.ID, now)
		broken.Crashes = d.crashes.RecordCrash(crashes.Crash{Fingerprint: broken.Fingerprint, Server: u.ID, At: now})
	} else if !u.Leaving {
		send := crashes.Crash{Fingerprint: broken.Fingerprint, Server: u.ID, At: now}
		d.crashes.RecordBrokenSend(send)
		d.unresolvedBrokenSends.add(send)
	}
	if !broken.Crashed && !check.sameProcess {
		d.recordLostConnections(u, now)
	}
	d.OnBrokenSend(broken)
}

// recordUpstreamCrash has the upstream count as cold here, and on the hosts that are told of it.
func (d *Dispatcher) recordUpstreamCrash(id string, now time.Time) {
	d.picker.RecordCrash(id, now)
	d.feedback.RecordCrash(id, now)
}

// recordLostConnections has the upstream count as cold while the log service cannot show whether
// it has restarted: it may have done so within the time between two checks of its port.
func (d *Dispatcher) recordLostConnections(u *catalogue.Upstream, now time.Time) {
	lostConnections.Inc()
	d.picker.RecordLostConnections(u.ID, now)
	d.OnLostConnections(u)
}

// CheckIdleConnections looks for upstreams that have closed an idle connection to this host. If
// one refuses a new connection it is recorded as crashed, unless it is leaving; if it accepts it
// and no other connection is open, it may have restarted meanwhile. Without this, an upstream to
// which no host happens to send between its end and its restart counts as warm while the log service is
// away, and gets its usual share of the requests at once. Only upstreams whose rate is limited
// while they are cold are checked.
func (d *Dispatcher) CheckIdleConnections(ctx context.Context) {
	v := d.views.Load()
	if !limitsColdUpstreams(v.Desired) || d.Paths.CutOff() {
		return
	}
	now := time.Now()
	for _, closed := range d.client.ClosedIdle(now) {
		u := v.Upstreams.ByID[closed.ID]
		if u == nil || u.Addr != closed.Addr || !limitsCold(v.Desired.Services[u.Service]) {
			continue
		}
		go d.checkEnded(ctx, u, closed, now)
	}
}

// checkEnded records what closed connections, found at now, show: a crash, a possible restart or
// nothing.
func (d *Dispatcher) checkEnded(ctx context.Context, u *catalogue.Upstream, closed upstream.ClosedIdle, now time.Time) {
	checkCtx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	refused := !u.Draining() && d.client.RefusesConnections(checkCtx, closed.Target)
	switch {
	case refused && d.Paths.Explains(ctx, u.ID, true) || d.Paths.CutOff():
	case refused:
		d.recordUpstreamCrash(u.ID, now)
	case closed.AllOlder:
		d.recordLostConnections(u, now)
	}
}

const (
	// crashDetectionTimeout bounds the time from a crash until this host reads that the
	// upstream's entry was removed from the log: three missed heartbeats of about 0.9 s,
	// and the propagation of the removal.
	crashDetectionTimeout = 5 * time.Second
	// maxUnresolvedBrokenSends bounds the list. Upstreams that truncate responses cause at
	// most about ten broken sends a second at one host.
	maxUnresolvedBrokenSends = 256
)

// unresolvedBrokenSendList holds broken sends whose upstream may have crashed although its
// port is open: a proxy or load balancer in front of it keeps listening, or the upstream
// restarted at once. An upstream's catalogue ID identifies one incarnation (by server and
// start time, see catalogue.IncarnationID), so a crash shows when the ID is missing or
// Unlisted: the entry was removed, or that of a later incarnation replaced it. A send has the
// type Crash although it is not known yet whether it is one.
type unresolvedBrokenSendList struct {
	mu    sync.Mutex
	sends []crashes.Crash
}

func (s *unresolvedBrokenSendList) add(send crashes.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sends) < maxUnresolvedBrokenSends {
		s.sends = append(s.sends, send)
	}
}

// resolve returns the broken sends whose upstream is now known to have crashed: its ID is
// missing or Unlisted. It drops those, and the ones whose upstream is leaving as planned or
// is still listed after crashDetectionTimeout.
func (s *unresolvedBrokenSendList) resolve(upstreams *catalogue.Snapshot, now time.Time) (crashed []crashes.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends = slices.DeleteFunc(s.sends, func(send crashes.Crash) bool {
		u := upstreams.ByID[send.Server]
		if u == nil || u.Unlisted {
			crashed = append(crashed, send)
			return true
		}
		return u.Leaving || now.Sub(send.At) > crashDetectionTimeout
	})
	return crashed
}

// recordSuccess records that an upstream ran the request and survived.
func (d *Dispatcher) recordSuccess(req *request) {
	if d.crashes.HasCrashes() {
		d.crashes.RecordSuccess(req.fingerprint())
	}
}

// refusedForUnlessTrial returns how much longer requests with req's fingerprint are refused;
// 0 if they are not, or if req is sent as the trial request. If a trial is due, it takes the
// trial and marks req as the trial request. Without refusals the retries of one request crash
// an owner of its key about every second, or dozens of upstreams of an unkeyed service. Each
// crash leaves keys unserved until the owner's grant expires.
func (d *Dispatcher) refusedForUnlessTrial(req *request) time.Duration {
	if !d.crashes.HasCrashes() {
		return 0
	}
	now := time.Now()
	left := d.crashes.RefusedFor(req.fingerprint(), now)
	if left > 0 && !req.trial {
		req.trial = d.crashes.TakeTrial(req.fingerprint(), now)
	}
	if req.trial {
		return 0
	}
	return left
}

// suspectRatePerSecond limits the requests of one suspect fingerprint that all hosts
// together send. Without a limit several run on each upstream by the time it crashes.
const suspectRatePerSecond = 2.0

// allowSuspect reports whether the request may be sent now, and if not, how long it is
// until it may. Once an upstream has crashed under a fingerprint, requests with it are
// limited to suspectRatePerSecond until one succeeds.
func (d *Dispatcher) allowSuspect(ctx context.Context, req *request) (ok bool, wait time.Duration) {
	if !d.crashes.HasCrashes() || req.trial || !d.crashes.IsSuspect(req.fingerprint()) {
		return true, 0
	}
	return d.rateLimiter.Take(ctx, "content "+string(req.fingerprint()), suspectRatePerSecond)
}
