package dispatch

import (
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/ratelimit"
)

// slowStart returns what cold upstreams of the service bear of this host's requests.
func (d *Dispatcher) slowStart(s *desired.Service) balance.SlowStart {
	if s.SlowStart.PerSecond == 0 {
		return balance.SlowStart{}
	}
	return balance.SlowStart{Duration: s.SlowStart.Duration, Share: func() ratelimit.HostRate { return d.coldHostRate(s.SlowStart.PerSecond) }}
}

// coldHostRate returns this host's share of a cold upstream that bears perSecond. Without
// a known number of hosts it is zero, so that a new host cannot exceed the limit.
func (d *Dispatcher) coldHostRate(perSecond float64) ratelimit.HostRate {
	if !d.hostCountKnown.Load() {
		return 0
	}
	return ratelimit.HostRate(d.SlowStartBounds.UncoordinatedRate(perSecond) / float64(d.hostCount.Load()))
}

// coldRefusal ends a request for which only an upstream in its slow start is
// left, and this host's share of it is used up.
func (q *request) coldRefusal(u *catalogue.Upstream, now time.Time) *Refusal {
	wait := retryAfterNoOwner
	if u.Cold(now) {
		wait = min(u.SlowUntil.Sub(now), wait)
	}
	return q.refusal(CauseCold, wait)
}

// anyCold returns one of the upstreams that is in its slow start and may be used
// once it is through, nil if there is none.
func anyCold(ups []*catalogue.Upstream, now time.Time) *catalogue.Upstream {
	for _, u := range ups {
		if u.Cold(now) && !u.Draining() {
			return u
		}
	}
	return nil
}
