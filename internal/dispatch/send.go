package dispatch

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/upstream"
)

// send makes one attempt and records its outcome with the picker, the limiter's
// ticket, the feedback and crash trackers and the request.
func (d *Dispatcher) send(ctx context.Context, req *request, u *catalogue.Upstream, ticket *admission.Ticket) (*upstream.Result, time.Duration) {
	start := time.Now()
	endSend := d.startSend(req, u, start)
	attemptCtx, endAttempt := d.startAttempt(ctx, req, u, start)
	if !req.mayHaveRun {
		req.outbound.ConnectBy = req.refuseBy()
	} else {
		req.outbound.ConnectBy = time.Time{}
	}
	// Services that are not contended at present are included: upstreams that become silent are found by
	// the expected latency of the requests there.
	sending := d.picker.StartSend(u, req.class, start)
	res := d.client.Do(attemptCtx, upstream.Target{ID: u.ID, Addr: u.Addr}, req.outbound)
	req.results = append(req.results, res)
	endAttempt(res)
	endSend(res)
	d.releaseAtUpstream(req)
	took := time.Since(start)
	outcome := sendOutcome(ctx, res)
	var broken *brokenCheck
	if isBrokenSend(ctx, res) {
		broken = d.checkBrokenSend(ctx, u, took)
	}
	ownPaths := d.ownPathsFailed(ctx, u, res, broken)
	if ownPaths {
		outcome = balance.Inconclusive
	}
	now := time.Now()
	if req.rejectedWithRoom = d.rejectedWithRoom(req, u, res, now); req.rejectedWithRoom {
		rejectionsWithRoom.Inc()
		outcome = balance.Inconclusive
	}
	// Done reports whether the upstream seems to have crashed.
	if d.picker.Done(u.ID, outcome, took, now) {
		d.feedback.RecordCrash(u.ID, now)
	}
	if limitsCold(req.service) {
		d.recordConnection(u, res, outcome, start, now)
	}
	d.picker.FinishSend(sending, outcome, took, res.Report.Load, now)
	if res.Status != 0 && !res.Misdirected() {
		d.feedback.Record(u.ID, res.Report, start, now)
	}
	ticket.Done(loadSignal(outcome, took, req.route.LatencyObjective), took)
	d.released(req)
	req.lastUpstream, req.lastErr = u.ID, res.Err
	req.trial = false
	req.attempted = append(req.attempted, u.ID)
	if res.Outcome != upstream.NotSent {
		req.attempts++
	}
	if res.Outcome == upstream.OutcomeUnknown || res.Outcome == upstream.Answered {
		req.mayHaveRun = true
	}
	if res.Outcome == upstream.Answered && !guaranteesNotRun(res.Status) {
		req.lastResponse = res
	}
	if broken != nil && !ownPaths {
		d.recordBrokenSend(req, u, took, broken)
	}
	if res.Outcome == upstream.Answered && res.Status < http.StatusInternalServerError {
		d.recordSuccess(req)
	}
	return res, took
}

// recordConnection records what the connection of an attempt shows of restarts of the upstream.
func (d *Dispatcher) recordConnection(u *catalogue.Upstream, res *upstream.Result, outcome balance.Outcome, sent, now time.Time) {
	switch {
	case outcome == balance.Served && !res.NewConn:
		d.picker.RecordSameProcess(u.ID, res.ConnOpenedAt, sent)
	case outcome == balance.ConnRejected && !d.client.HasOpenConnection(upstream.Target{ID: u.ID, Addr: u.Addr}, sent):
		d.picker.RecordLostConnections(u.ID, now) // a proxy in front of it accepts connections while it is down
	}
}

// sendOutcome classifies the result of an attempt for the picker.
func sendOutcome(ctx context.Context, res *upstream.Result) balance.Outcome {
	switch {
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled), errors.Is(res.Err, upstream.ErrNoMemory):
		return balance.Inconclusive
	case res.Outcome == upstream.Answered && res.Status < http.StatusInternalServerError:
		return balance.Served
	case res.Outcome == upstream.NotRun && res.Misdirected():
		return balance.Inconclusive
	case res.ConnRejected:
		return balance.ConnRejected
	case res.Outcome == upstream.NotRun:
		return balance.Overloaded
	case res.Outcome == upstream.NotSent && errors.Is(res.Err, syscall.ECONNREFUSED):
		return balance.Crashed
	case isBrokenSend(ctx, res):
		return balance.Broken
	}
	return balance.Failed
}

// lateLatencyFraction is the fraction of the latency objective above which the duration
// of an attempt counts as late. The rest is for network transit.
const lateLatencyFraction = 0.8

// loadSignal returns what the outcome of an attempt shows of the upstream's load.
func loadSignal(outcome balance.Outcome, took, objective time.Duration) admission.Signal {
	late := took > time.Duration(lateLatencyFraction*float64(objective))
	switch {
	case outcome == balance.Served && late:
		return admission.Late
	case outcome == balance.Served:
		return admission.InTime
	case outcome == balance.Overloaded || outcome == balance.ConnRejected:
		return admission.Overloaded
	}
	return admission.NoSignal
}
