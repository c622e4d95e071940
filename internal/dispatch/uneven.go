package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/upstream"
)

var (
	rejectionsWithRoom = metrics.NewCounter(`papayatide_rejections_with_room_total`)
	repeatedAtOwner    = metrics.NewCounter(`papayatide_repeated_at_owner_total`)
)

// contendedClass returns the request's class if its service is contended, else the zero value.
func (req *request) contendedClass() desired.Class {
	if req.urgency == nil {
		return desired.Class{}
	}
	return req.class
}

// silentBeyondObjective reports whether the upstream, which is silent by a notice of other hosts, is
// expected to respond only after the request's objective.
func (d *Dispatcher) silentBeyondObjective(req *request, u *catalogue.Upstream, now time.Time) bool {
	silence := d.picker.NoticedSilence(u.ID, now)
	if silence == 0 {
		return false
	}
	_, work, _ := d.picker.Estimate(u, req.class, now)
	return silence+work > req.arrived.Add(req.route.LatencyObjective).Sub(now)
}

// rejectedWithRoom reports whether an upstream rejected a request without running it although it has
// room, and nothing else in the response explains the rejection. That is no sign of overload. Cold
// upstreams reject requests above their rate limit, whatever their load. Deployments without
// competing services take every rejection for overload.
func (d *Dispatcher) rejectedWithRoom(req *request, u *catalogue.Upstream, res *upstream.Result, now time.Time) bool {
	if res.Outcome != upstream.NotRun || res.Misdirected() || res.Report.Backoff > 0 || res.Report.RateLimit > 0 ||
		u.Cold(now) || !d.views.Load().Desired.HasCompeting() {
		return false
	}
	if res.Report.Load.Known() {
		return res.Report.Load.HasRoom()
	}
	return req.class != (desired.Class{}) && d.respondsInTime(u, req.route.LatencyObjective)
}

// respondsInTime reports whether the upstream's recent responses took at most inTimeFraction of the
// objective. Without a load report this shows room: a queue must have delayed responses before it
// is full.
func (d *Dispatcher) respondsInTime(u *catalogue.Upstream, objective time.Duration) bool {
	return d.picker.Limiter(u.ID).State().Latency <= time.Duration(inTimeFraction*float64(objective))
}

// inTimeFraction leaves callers time for a second attempt within the objective.
const inTimeFraction = 0.5

// repeatAtOwner reports whether a keyed request whose last attempt was rejectedWithRoom is sent to
// the owner of its key once more. The key has no other owner, and the place that was taken when
// the request arrived is probably free by now.
func (req *request) repeatAtOwner() bool {
	if !req.rejectedWithRoom || req.repeatedAtOwner {
		return false
	}
	req.repeatedAtOwner = true
	repeatedAtOwner.Inc()
	return true
}
