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

// send makes one send and accounts for it.
func (d *Dispatcher) send(ctx context.Context, q *request, u *catalogue.Upstream, ticket *admission.Ticket) (*upstream.Result, time.Duration) {
	start := time.Now()
	res := d.client.Do(ctx, upstream.Target{ID: u.ID, Addr: u.Addr}, q.outbound)
	took := time.Since(start)
	judged := sendOutcome(ctx, res)
	now := time.Now()
	if d.picker.Done(u.ID, judged, took, now) {
		d.feedback.RecordCrash(u.ID, now)
	}
	if res.Status != 0 && !res.Misdirected() {
		d.feedback.Record(u.ID, res.Report, start, now)
	}
	ticket.Done(loadSignal(judged, took, q.route.LatencyObjective), took)
	q.lastUpstream, q.lastErr = u.ID, res.Err
	q.trial = false
	q.attempted = append(q.attempted, u.ID)
	if res.Outcome != upstream.NotSent {
		q.attempts++
	}
	if res.Outcome == upstream.OutcomeUnknown || res.Outcome == upstream.Answered {
		q.mayHaveRun = true
	}
	if res.Outcome == upstream.Answered {
		q.lastResponse = res
	}
	if isBrokenSend(ctx, res) {
		d.recordBrokenSend(ctx, q, u, took)
	}
	if res.Outcome == upstream.Answered && res.Status < http.StatusInternalServerError {
		d.recordSuccess(q)
	}
	return res, took
}

// sendOutcome says what a send shows of its upstream.
func sendOutcome(ctx context.Context, res *upstream.Result) balance.Outcome {
	switch {
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
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

// lateShare is the part of the latency objective above which an answer's
// time at the upstream counts as late; the rest is for the ways.
const lateLatencyShare = 0.8

// loadSignal says what a send's end shows of its upstream's load.
func loadSignal(o balance.Outcome, took, objective time.Duration) admission.Signal {
	late := took > time.Duration(lateLatencyShare*float64(objective))
	switch {
	case o == balance.Served && late:
		return admission.Late
	case o == balance.Served:
		return admission.InTime
	case o == balance.Overloaded || o == balance.ConnRejected:
		return admission.Full
	}
	return admission.NoSignal
}
