package dispatch

import (
	"context"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

// unavailableFor returns for how long the upstream takes no requests of this host, and
// why; 0 if one may be tried.
func (d *Dispatcher) unavailableFor(id string, now time.Time) (time.Duration, Cause) {
	if rest := d.feedback.Backoff(id, now); rest > 0 {
		return rest, CauseBackoff
	}
	if d.feedback.RateLimit(id) == 0 {
		return 0, ""
	}
	return d.rateLimiter.RetryAfter(id, now), CauseRateLimited
}

// takePermit reports whether a request may be sent to the upstream now, and counts it. If
// not, it returns for how long none may be, and why. Requests wait for their turn
// after an upstream is chosen, so what was true then is asked again.
func (d *Dispatcher) takePermit(ctx context.Context, id string) (ok bool, wait time.Duration, cause Cause) {
	if rest := d.feedback.Backoff(id, time.Now()); rest > 0 {
		return false, rest, CauseBackoff
	}
	limit := d.feedback.RateLimit(id)
	if limit == 0 {
		return true, 0, ""
	}
	ok, wait = d.rateLimiter.Take(ctx, id, limit)
	return ok, wait, CauseRateLimited
}

// soonestAvailable returns how long it is until one of the upstreams takes a request
// again, and why not now; 0 if none is closed.
func (d *Dispatcher) soonestAvailable(ups []*catalogue.Upstream, now time.Time) (soonest time.Duration, why Cause) {
	for _, u := range ups {
		if u.Draining() {
			continue
		}
		if wait, cause := d.unavailableFor(u.ID, now); wait > 0 && (soonest == 0 || wait < soonest) {
			soonest, why = wait, cause
		}
	}
	return soonest, why
}

// unavailableRefusal ends a request for which only upstreams are left that take none
// for so long. Keys of an upstream with a limit may have another owner by then.
func (q *request) unavailableRefusal(wait time.Duration, cause Cause) *Refusal {
	return q.refusal(cause, min(max(wait, q.retryAfterFull()), retryAfterNoOwner))
}
