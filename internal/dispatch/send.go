package dispatch

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/upstream"
)

// send makes one send and accounts for it.
func (d *Dispatcher) send(ctx context.Context, q *request, u *catalogue.Upstream, ticket *admission.Ticket) (*upstream.Result, time.Duration) {
	start := time.Now()
	res := d.client.Do(ctx, upstream.Target{ID: u.ID, Addr: u.Addr}, q.up)
	took := time.Since(start)
	judged := judge(ctx, res)
	d.board.Done(u.ID, judged, took, time.Now())
	ticket.Done(verdict(judged, took, q.route.Objective), took)
	q.lastUp, q.lastErr = u.ID, res.Err
	q.tried = append(q.tried, u.ID)
	if res.Outcome != upstream.NotSent {
		q.sends++
	}
	if res.Outcome == upstream.Unknown || res.Outcome == upstream.Answered {
		q.mayHaveRun = true
	}
	if brokeOff(ctx, res) {
		d.BrokeOff(&Broken{ID: q.up.ID, Service: q.service.Name, Upstream: u.ID, Key: q.key, Fence: q.lastSeen,
			Content: q.content(), AtUpstream: took, Err: res.Err})
	}
	return res, took
}

// Broken describes a send that broke off, for logs.
type Broken struct {
	ID, Service, Upstream string
	// Key is -1 for services that are not keyed.
	Key   int
	Fence int64
	// Content tells whether other requests ask the same.
	Content    crashes.Content
	AtUpstream time.Duration
	Err        error
}

// brokeOff reports whether the upstream ended the exchange: no answer came,
// and neither the caller nor the time limit had put an end to it.
func brokeOff(ctx context.Context, res *upstream.Result) bool {
	return res.Outcome == upstream.Unknown && ctx.Err() == nil && !errors.Is(res.Err, os.ErrDeadlineExceeded)
}

// judge says what a send shows of its upstream.
func judge(ctx context.Context, res *upstream.Result) balance.Outcome {
	switch {
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		return balance.Abandoned
	case res.Outcome == upstream.Answered && res.Status < http.StatusInternalServerError:
		return balance.Served
	case res.Outcome == upstream.NotRun && res.Misdirected():
		return balance.Abandoned
	case res.Outcome == upstream.NotRun:
		return balance.Full
	}
	return balance.Failed
}

// lateShare is the part of the latency objective above which an answer's
// time at the upstream counts as late; the rest is for the ways.
const lateShare = 0.8

// verdict says what a send's end shows of its upstream's load.
func verdict(o balance.Outcome, took, objective time.Duration) admission.Verdict {
	late := took > time.Duration(lateShare*float64(objective))
	switch {
	case o == balance.Served && late:
		return admission.Late
	case o == balance.Served:
		return admission.InTime
	case o == balance.Full:
		return admission.Full
	}
	return admission.NoSign
}
