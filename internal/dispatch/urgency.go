package dispatch

import (
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
)

// estimator estimates the latency of a request of a class at an upstream, and learns from
// the responses. *balance.Picker implements it.
type estimator interface {
	// Estimate returns how long the request would queue there, and how long the upstream
	// would work on it; known is false if nothing is known of the class.
	Estimate(u *catalogue.Upstream, class desired.Class, now time.Time) (queueing, work time.Duration, known bool)
	// FreeSlots returns the upstream's slots less the requests in flight there.
	FreeSlots(u *catalogue.Upstream, now time.Time) int
	// RecordLatency records a response; queueing is the estimate when it was sent.
	RecordLatency(u *catalogue.Upstream, class desired.Class, latency, queueing time.Duration, now time.Time)
}

// urgency is what requests of different classes of one service compete by.
type urgency struct {
	class desired.Class
	// mostUrgent is the most urgent class of the service.
	mostUrgent desired.Class
	// queueing is how long the last attempt was expected to queue at its upstream.
	queueing time.Duration
}

// newUrgency returns nil for a service that is not competing.
func newUrgency(state *desired.State, route *desired.Route, service string) *urgency {
	if !state.Competing(service) {
		return nil
	}
	return &urgency{class: route.ClassFor(service), mostUrgent: state.Classes(service)[0]}
}

// expectedLatency returns the expected latency of the request at the upstream; 0 if it is
// not known. Where nothing queues, the work alone is no reason to refuse a request of a
// competing service: refusing all requests of the class would leave a wrong estimate without
// the responses that correct it.
func (d *Dispatcher) expectedLatency(req *request, u *catalogue.Upstream, now time.Time) time.Duration {
	if req.urgency == nil {
		return d.picker.ExpectedLatency(u, now)
	}
	queueing, work, known := d.estimator.Estimate(u, req.urgency.class, now)
	if !known || queueing == 0 {
		return 0
	}
	return queueing + work
}

// estimateQueueing records how long the request is expected to queue at the upstream. It is
// called before the request counts as in flight there.
func (d *Dispatcher) estimateQueueing(req *request, u *catalogue.Upstream) {
	if req.urgency != nil {
		req.urgency.queueing, _, _ = d.estimator.Estimate(u, req.urgency.class, time.Now())
	}
}
