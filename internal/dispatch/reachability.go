package dispatch

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
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
