package dispatch

import (
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/ratelimit"
)

// coldShare returns this host's share of a cold upstream of the service when called.
// A host that does not know how many others there are has none: it might be one of
// thousands.
func (d *Dispatcher) coldShare(s *desired.Service) func() ratelimit.Share {
	return func() ratelimit.Share {
		if s.SlowStart.PerSecond == 0 {
			return ratelimit.Unbounded
		}
		if !d.fleetKnown.Load() {
			return 0
		}
		return ratelimit.Share(d.SlowStart.Rate(s.SlowStart.PerSecond) / float64(d.fleet.Load()))
	}
}

// coldRefusal ends a request for which only an upstream in its slow start is
// left, and this host's share of it is used up.
func (q *request) coldRefusal(u *catalogue.Upstream, now time.Time) *Refusal {
	wait := retryNoOwner
	if u.Cold(now) {
		wait = min(u.SlowUntil.Sub(now), wait)
	}
	return q.endUnsent(CauseCold, wait)
}

// anyCold returns one of the upstreams that is in its slow start and may be used
// once it is through, nil if there is none.
func anyCold(ups []*catalogue.Upstream, now time.Time) *catalogue.Upstream {
	for _, u := range ups {
		if u.Cold(now) && !u.Retiring() {
			return u
		}
	}
	return nil
}
