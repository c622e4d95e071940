package dispatch

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/upstream"
)

// forward sends the request until it gets a response or a refusal. An upstream's
// failure response takes precedence over a refusal by this host.
func (d *Dispatcher) forward(ctx context.Context, req *request, summary *RequestSummary) (*upstream.Result, *Refusal) {
	res, refusal := d.sendWithRetries(ctx, req, summary)
	if refusal != nil && req.lastResponse != nil {
		return req.lastResponse, nil
	}
	return res, refusal
}

// sendWithRetries makes attempts until one gets a response that is not retried, or
// the request is refused.
func (d *Dispatcher) sendWithRetries(ctx context.Context, req *request, summary *RequestSummary) (*upstream.Result, *Refusal) {
	if !d.needsDetour(req) { // otherwise the helper's share applies
		if refusal := d.shareRefusal(req, time.Now()); refusal != nil {
			return nil, refusal
		}
	}
	for {
		if ctx.Err() != nil {
			return nil, d.contextDoneRefusal(ctx, req)
		}
		if !req.mayHaveRun && !time.Now().Before(req.refuseBy()) {
			return nil, notRunRefusal(CauseTimeoutUnsent, withJitter(retryAfterTimeout))
		}
		// Checked before retries too: after crashes.RefusalThreshold crashes, counted over
		// all hosts, the next attempt would probably crash another upstream.
		if left := d.refusedForUnlessTrial(req); left > 0 {
			return nil, req.refusal(CauseCrashes, left)
		}
		if d.needsDetour(req) {
			if res, refusal := d.detour(ctx, req, summary); res != nil || refusal != nil {
				return res, refusal
			}
		}
		u, ticket, refusal := d.admit(ctx, req, summary)
		if refusal != nil {
			return nil, refusal
		}
		if ok, refusal := d.permitSend(ctx, req, u); !ok {
			d.releaseAtUpstream(req)
			ticket.Done(admission.NoSignal, 0)
			d.released(req)
			if refusal != nil {
				return nil, refusal
			}
			continue
		}
		res, took := d.send(ctx, req, u, ticket)
		summary.UpstreamTime, summary.ConnectTime = took, res.ConnectTime
		retry, refusal := d.afterSend(ctx, req, res)
		if !retry {
			return res, refusal
		}
	}
}

// admit chooses the upstream for the next attempt and waits for admission there.
func (d *Dispatcher) admit(ctx context.Context, req *request, summary *RequestSummary) (*catalogue.Upstream, *admission.Ticket, *Refusal) {
	if req.urgency != nil && req.key < 0 {
		return d.admitByUrgency(ctx, req, summary)
	}
	u, refusal := d.chooseUpstream(ctx, req)
	if refusal != nil {
		return nil, nil, refusal
	}
	limiter := d.picker.Limiter(u.ID)
	queued := time.Now()
	var ticket *admission.Ticket
	if req.urgency != nil {
		ticket = d.acquireRanked(ctx, req, u, limiter)
	} else {
		ticket = limiter.Acquire(ctx, req.maxQueueWait(), d.admissionLimitRange(u, req.service))
	}
	summary.QueueTime += time.Since(queued)
	if ticket == nil {
		summary.Upstream, summary.LimiterState = u.ID, limiter.State()
		return nil, nil, d.notAdmittedRefusal(ctx, req)
	}
	return u, ticket, nil
}

// permitSend reports whether an admitted request may be sent to the upstream now, and
// takes the permits that the attempt needs. If not, it returns a refusal, or nil if the
// checks and the choice of the upstream are to be repeated.
func (d *Dispatcher) permitSend(ctx context.Context, req *request, u *catalogue.Upstream) (ok bool, refusal *Refusal) {
	if req.callerDisconnected() {
		return false, refusalWithStatus(CauseCallerDisconnected, http.StatusBadGateway)
	}
	if d.shutdown.stopped() {
		return false, req.stoppingRefusal()
	}
	if d.upstreamChanged(req, u) || d.refusedForUnlessTrial(req) > 0 {
		return false, nil
	}
	if ok, refusal := d.reserveAtUpstream(req, u); !ok {
		return false, refusal
	}
	if now := time.Now(); !d.picker.TakeSlowStartPermit(u, d.slowStart(req.service), now) {
		return false, req.ifKeyed(req.coldRefusal(u, now))
	}
	if ok, wait, cause := d.takePermit(ctx, u.ID); !ok {
		return false, req.ifKeyed(req.unavailableRefusal(wait, cause))
	}
	if ok, wait := d.allowSuspect(ctx, req); !ok {
		return false, req.refusal(CauseSuspect, max(wait, req.retryAfterOverloaded()))
	}
	if req.attempts > 0 && !d.retryBudget.AllowRetry(req.service.Name, req.highestPriority, time.Now()) {
		return false, req.noRetryRefusal()
	}
	return true, nil
}

// ifKeyed returns the refusal if the request has a key, whose owner is the only
// upstream that may run it. Otherwise it returns nil: another upstream can be chosen.
func (req *request) ifKeyed(refusal *Refusal) *Refusal {
	if req.key < 0 {
		return nil
	}
	return refusal
}

// upstreamChanged reports whether the upstream, after the wait for admission, is no
// longer the one to send to: it may have begun to drain, or its key may have moved.
// Without this check a request is sent to an upstream that has stopped during the wait.
func (d *Dispatcher) upstreamChanged(req *request, u *catalogue.Upstream) bool {
	v := d.views.Load()
	if req.key >= 0 {
		owner, token := v.Owner(req.service.Name, req.key)
		return owner == nil || owner.ID != u.ID || token != req.lastFencingToken || !servesOwnedKeys(owner, time.Now())
	}
	current := v.Upstreams.ByID[u.ID]
	return current == nil || current.Draining()
}

// afterSend decides whether an attempt is followed by another one. If not, the
// request ends with the returned refusal, or with res if that is nil.
func (d *Dispatcher) afterSend(ctx context.Context, req *request, res *upstream.Result) (retry bool, refusal *Refusal) {
	switch res.Outcome {
	case upstream.Answered:
		unproven := guaranteesNotRun(res.Status)
		if (unproven || res.Status >= http.StatusInternalServerError) && req.hasAttemptsLeft() && d.mayRetryAfterRun(req) {
			return true, nil
		}
		if unproven {
			return false, refusalWithStatus(CauseUnprovenRejection, http.StatusBadGateway)
		}
		return false, nil
	case upstream.NotSent:
		req.unsentAttempts++
		if d.needsDetour(req) {
			return true, nil
		}
		if req.unsentAttempts >= maxUnsentAttempts || req.key >= 0 {
			return false, req.noRetryRefusal()
		}
		return true, nil
	case upstream.NotRun:
		return d.afterNotRun(ctx, req, res)
	}
	// The connection has the context's deadline, and its error may come first.
	if ctx.Err() != nil || errors.Is(res.Err, os.ErrDeadlineExceeded) {
		return false, d.contextDoneRefusal(ctx, req)
	}
	if !req.hasAttemptsLeft() || !d.mayRetryAfterRun(req) {
		return false, refusalWithStatus(CauseBrokenSend, http.StatusBadGateway)
	}
	return true, nil
}

// afterNotRun decides whether a request that an upstream rejected without running it
// is retried.
func (d *Dispatcher) afterNotRun(ctx context.Context, req *request, res *upstream.Result) (retry bool, refusal *Refusal) {
	keyed := req.key >= 0
	if keyed && res.Misdirected() {
		d.rejectedGrants.record(req.service.Name, req.lastFencingToken, req.lastUpstream, time.Now())
	}
	if !req.hasAttemptsLeft() {
		return false, req.rejectionRefusal(res)
	}
	if !keyed {
		return true, nil
	}
	if req.repeatAtOwner() {
		return true, nil
	}
	if !res.Misdirected() {
		// The key has no other owner, and one that is overloaded now still is a
		// few milliseconds later.
		return false, req.rejectionRefusal(res)
	}
	refusal = d.waitForOwnerChange(ctx, req)
	return refusal == nil, refusal
}
