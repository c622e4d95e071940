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

// competingClass returns the request's class if its service is contended, else the zero value.
func (d *Dispatcher) competingClass(req *request) desired.Class {
	if req.urgency == nil {
		return desired.Class{}
	}
	return req.urgency.class
}

// rejectedWithRoom reports whether an upstream rejected a request without running it although its
// load report shows room, and nothing else in the response explains the rejection. That is no sign
// of overload. Cold upstreams reject requests above their rate limit, whatever their load.
// Deployments without competing services take every rejection for overload.
func (d *Dispatcher) rejectedWithRoom(u *catalogue.Upstream, res *upstream.Result, now time.Time) bool {
	return res.Outcome == upstream.NotRun && !res.Misdirected() && res.Report.Load.HasRoom() &&
		res.Report.Backoff == 0 && res.Report.RateLimit == 0 && !u.Cold(now) && d.views.Load().Desired.HasCompeting()
}

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
