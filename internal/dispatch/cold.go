package dispatch

import (
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/ratelimit"
)

// slowStart returns the limits for this host's requests to cold upstreams of the service.
func (d *Dispatcher) slowStart(service *desired.Service) balance.SlowStart {
	if !limitsCold(service) {
		return balance.SlowStart{}
	}
	return balance.SlowStart{Duration: service.SlowStart.Duration, Share: func() ratelimit.HostRate { return d.coldHostRate(service.SlowStart.PerSecond) }}
}

// limitsCold reports whether the rate of the service's cold upstreams is limited; service may be nil.
func limitsCold(service *desired.Service) bool {
	return service != nil && service.SlowStart.PerSecond != 0
}

// limitsColdUpstreams reports whether that holds for any service; state may be nil.
func limitsColdUpstreams(state *desired.State) bool {
	if state == nil {
		return false
	}
	for _, service := range state.Services {
		if limitsCold(service) {
			return true
		}
	}
	return false
}

// coldHostRate returns this host's share of the rate perSecond that a cold upstream
// takes from all hosts. It is zero while the number of hosts is unknown, so that a new
// host cannot exceed the limit.
func (d *Dispatcher) coldHostRate(perSecond float64) ratelimit.HostRate {
	if !d.hostCountKnown.Load() {
		return 0
	}
	return ratelimit.HostRate(d.SlowStartBounds.UncoordinatedRate(perSecond) / float64(d.hostCount.Load()))
}

// coldRefusal returns the refusal of a request for which only an upstream in its slow
// start is left, and this host has used up its share of it.
func (req *request) coldRefusal(u *catalogue.Upstream, now time.Time) *Refusal {
	wait := retryAfterNoOwner
	if u.Cold(now) {
		wait = min(u.SlowUntil.Sub(now), wait)
	}
	return req.refusal(CauseCold, wait)
}

// anyCold returns the first of the upstreams that is in its slow start and not
// draining, or nil.
func anyCold(upstreams []*catalogue.Upstream, now time.Time) *catalogue.Upstream {
	for _, u := range upstreams {
		if u.Cold(now) && !u.Draining() {
			return u
		}
	}
	return nil
}
