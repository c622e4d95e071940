package dispatch

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/reachability"
	"github.com/papayatide/papayatide/internal/upstream"
)

// tracksReachability reports whether this host refuses requests for data centres that it cannot
// reach: in deployments with competing services. The host's own data centre always counts as
// reachable.
func (d *Dispatcher) tracksReachability(u *catalogue.Upstream) bool {
	state := d.views.Load().Desired
	return u.DataCentre != d.localDataCentre && state != nil && state.HasCompeting()
}

// reachable reports whether a request may be sent to the upstream's data centre at now.
func (d *Dispatcher) reachable(u *catalogue.Upstream, now time.Time) bool {
	return !d.tracksReachability(u) || d.Reachability.Reachable(u.DataCentre, now)
}

// startSend records a send with the reachability of the upstream's data centre. The returned
// function records its result.
func (d *Dispatcher) startSend(req *request, u *catalogue.Upstream, now time.Time) func(*upstream.Result) {
	if !d.tracksReachability(u) {
		return func(*upstream.Result) {}
	}
	s := d.Reachability.Start(u.DataCentre, u.ID, req.route.LatencyObjective, now)
	return func(res *upstream.Result) { s.End(heard(res), time.Now()) }
}

// heard reports whether anything arrived from the upstream's host.
func heard(res *upstream.Result) bool {
	return res.Outcome == upstream.Answered || res.Outcome == upstream.NotRun || res.ConnRejected ||
		errors.Is(res.Err, syscall.ECONNREFUSED) || errors.Is(res.Err, syscall.ECONNRESET) || errors.Is(res.Err, io.EOF)
}

// startAttempt records an attempt with this host's paths to the upstreams. The context ends if the
// attempt is to be made again through another host, which only idempotent requests are. The returned
// function records the result.
func (d *Dispatcher) startAttempt(ctx context.Context, req *request, u *catalogue.Upstream, now time.Time) (context.Context, func(*upstream.Result)) {
	ctx, cancel := context.WithCancel(ctx)
	var abandon func()
	if req.route.Idempotent && req.outbound.Stream == nil {
		abandon = cancel
	}
	s := d.Paths.Start(u.ID, abandon, now)
	return ctx, func(res *upstream.Result) {
		s.End(res.Outcome == upstream.Answered || res.Outcome == upstream.NotRun, time.Now())
		cancel()
	}
}

// ownPathsFailed reports whether an attempt failed because this host has lost its paths to all
// upstreams. Such a failure shows nothing about the upstream. check is nil unless the send broke.
func (d *Dispatcher) ownPathsFailed(ctx context.Context, u *catalogue.Upstream, res *upstream.Result, check *brokenCheck) bool {
	err := res.Err
	switch {
	case res.Outcome == upstream.Answered || res.Outcome == upstream.NotRun || errors.Is(ctx.Err(), context.Canceled):
		return false
	case check != nil:
		if err = check.err; err == nil {
			return d.Paths.CutOff()
		}
	case res.Outcome != upstream.NotSent:
		return d.Paths.CutOff() // the deadline has passed
	}
	return d.Paths.Explains(ctx, u.ID, errors.Is(err, syscall.ECONNREFUSED))
}

// OnPathChange handles a change of this host's paths: failures of the time before show nothing about
// upstreams.
func (d *Dispatcher) OnPathChange(c reachability.PathChange) {
	d.picker.ForgetFailures(c.HeardAt, c.At)
	d.Reachability.Reset()
	if !c.CutOff {
		d.picker.RecordPathGap(c.HeardAt, c.At)
	}
}

// ProbeUpstream opens a connection to the upstream and keeps it for the next request.
func (d *Dispatcher) ProbeUpstream(ctx context.Context, u *catalogue.Upstream) error {
	return d.client.Connect(ctx, upstream.Target{ID: u.ID, Addr: u.Addr})
}
