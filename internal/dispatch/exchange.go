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

// forward sends the request until it is answered or must end. A failure that an
// upstream has answered is the caller's answer if no better one came.
func (d *Dispatcher) forward(ctx context.Context, q *request, end *RequestSummary) (*upstream.Result, *Refusal) {
	res, ref := d.sendWithRetries(ctx, q, end)
	if ref != nil && q.lastResponse != nil {
		return q.lastResponse, nil
	}
	return res, ref
}

// sendWithRetries sends the request until it is answered or must end.
func (d *Dispatcher) sendWithRetries(ctx context.Context, q *request, end *RequestSummary) (*upstream.Result, *Refusal) {
	for {
		if ctx.Err() != nil {
			return nil, d.contextDoneRefusal(ctx, q)
		}
		if left := d.refusedFor(q); left > 0 {
			return nil, q.refusal(CauseCrashes, left)
		}
		u, ref := d.chooseUpstream(ctx, q)
		if ref != nil {
			return nil, ref
		}
		limiter := d.picker.Limiter(u.ID)
		asked := time.Now()
		ticket := limiter.Acquire(ctx, q.maxQueueWait(), d.admissionShare(u, q.service))
		end.QueueTime += time.Since(asked)
		if ticket == nil {
			end.Upstream, end.LimiterState = u.ID, limiter.State()
			return nil, d.notAdmittedRefusal(ctx, q)
		}
		if ok, ref := d.permitSend(ctx, q, u); !ok {
			ticket.Done(admission.NoSignal, 0)
			if ref != nil {
				return nil, ref
			}
			continue
		}
		res, took := d.send(ctx, q, u, ticket)
		end.UpstreamTime, end.ConnectTime = took, res.ConnectTime
		again, ref := d.afterSend(ctx, q, res)
		if !again {
			return res, ref
		}
	}
}

// permitSend reports whether the request, whose turn has come, may be sent to the
// upstream now, and counts it if so. If not, it is refused, or another upstream is to
// be chosen if there is no refusal.
func (d *Dispatcher) permitSend(ctx context.Context, q *request, u *catalogue.Upstream) (ok bool, ref *Refusal) {
	if q.callerGone() {
		return false, refusalWithStatus(CauseCallerGone, http.StatusBadGateway)
	}
	if d.upstreamChanged(q, u) || d.refusedFor(q) > 0 {
		return false, nil
	}
	if now := time.Now(); !d.picker.TakeSlowStartPermit(u, d.slowStart(q.service), now) {
		return false, q.ifKeyed(q.coldRefusal(u, now))
	}
	if ok, wait, cause := d.takePermit(ctx, u.ID); !ok {
		return false, q.ifKeyed(q.unavailableRefusal(wait, cause))
	}
	if ok, wait := d.allowSuspect(ctx, q); !ok {
		return false, q.refusal(CauseSuspect, max(wait, q.retryAfterFull()))
	}
	if q.attempts > 0 && !d.retryBudget.AllowRetry(q.service.Name, q.urgent, time.Now()) {
		return false, q.noRetryRefusal()
	}
	return true, nil
}

// ifKeyed returns the refusal for a request with a key, whose owner is the only
// upstream; others have more to choose from.
func (q *request) ifKeyed(ref *Refusal) *Refusal {
	if q.key < 0 {
		return nil
	}
	return ref
}

// upstreamChanged reports whether the upstream is no longer the one to send to,
// after the wait for a turn. A request that waited half a second was sent to
// an upstream that had left meanwhile.
func (d *Dispatcher) upstreamChanged(q *request, u *catalogue.Upstream) bool {
	v := d.views.Load()
	if q.key >= 0 {
		owner, fence := v.Owner(q.service.Name, q.key)
		return owner == nil || owner.ID != u.ID || fence != q.lastFencingToken || !servesOwnedKeys(owner, time.Now())
	}
	now := v.Upstreams.ByID[u.ID]
	return now == nil || now.Draining()
}

// afterSend decides what follows a send: another one, the answer (neither), or
// a refusal.
func (d *Dispatcher) afterSend(ctx context.Context, q *request, res *upstream.Result) (again bool, ref *Refusal) {
	switch res.Outcome {
	case upstream.Answered:
		return res.Status >= http.StatusInternalServerError && q.mayRetry() && d.worthRetrying(q), nil
	case upstream.NotSent:
		q.unsentAttempts++
		if q.unsentAttempts >= maxUnsentAttempts || q.key >= 0 {
			return false, q.noRetryRefusal()
		}
		return true, nil
	case upstream.NotRun:
		return d.afterNotRun(ctx, q, res)
	}
	// The connection's deadline is the context's, and may be noticed first.
	if ctx.Err() != nil || errors.Is(res.Err, os.ErrDeadlineExceeded) {
		return false, d.contextDoneRefusal(ctx, q)
	}
	if !q.mayRetry() || !d.worthRetrying(q) {
		return false, refusalWithStatus(CauseBrokenSend, http.StatusBadGateway)
	}
	return true, nil
}

// afterNotRun decides what follows an upstream's refusal.
func (d *Dispatcher) afterNotRun(ctx context.Context, q *request, res *upstream.Result) (again bool, ref *Refusal) {
	keyed := q.key >= 0
	if keyed && res.Misdirected() {
		d.rejectedGrants.record(q.service.Name, q.lastFencingToken, q.lastUpstream, time.Now())
	}
	if !q.mayRetry() {
		return false, q.rejectionRefusal(res)
	}
	if !keyed {
		return true, nil
	}
	if !res.Misdirected() {
		// The key has no other owner, and one that is full now is full in a
		// few milliseconds too.
		return false, q.rejectionRefusal(res)
	}
	ref = d.waitForOwnerChange(ctx, q)
	return ref == nil, ref
}
