package dispatch

import (
	"context"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

// unavailableFor returns how long this host may not send to the upstream, and why: it
// asked for a backoff or its rate limit is reached. It returns 0 if a request may be sent.
func (d *Dispatcher) unavailableFor(id string, now time.Time) (time.Duration, Cause) {
	if backoff := d.feedback.Backoff(id, now); backoff > 0 {
		return backoff, CauseBackoff
	}
	if d.feedback.RateLimit(id) == 0 {
		return 0, ""
	}
	return d.rateLimiter.RetryAfter(id, now), CauseRateLimited
}

// takePermit takes a permit to send one request to the upstream now. If there is none it
// returns how long until one may be available, and why. The backoff is checked again
// because the request may have queued since the upstream was chosen.
func (d *Dispatcher) takePermit(ctx context.Context, id string) (ok bool, wait time.Duration, cause Cause) {
	if backoff := d.feedback.Backoff(id, time.Now()); backoff > 0 {
		return false, backoff, CauseBackoff
	}
	limit := d.feedback.RateLimit(id)
	if limit == 0 {
		return true, 0, ""
	}
	ok, wait = d.rateLimiter.Take(ctx, id, limit)
	return ok, wait, CauseRateLimited
}

// soonestAvailable returns how long it is until the first of the upstreams may be sent to
// again, and why it may not be now; 0 if none is unavailable.
func (d *Dispatcher) soonestAvailable(upstreams []*catalogue.Upstream, now time.Time) (soonest time.Duration, why Cause) {
	for _, u := range upstreams {
		if u.Draining() {
			continue
		}
		if wait, cause := d.unavailableFor(u.ID, now); wait > 0 && (soonest == 0 || wait < soonest) {
			soonest, why = wait, cause
		}
	}
	return soonest, why
}

// unavailableRefusal returns the refusal of a request whose only remaining upstreams are
// unavailable for the given time. The delay is capped at retryAfterNoOwner, as keys of a
// rate-limited upstream may have another owner by then.
func (req *request) unavailableRefusal(wait time.Duration, cause Cause) *Refusal {
	return req.refusal(cause, min(max(wait, req.retryAfterOverloaded()), retryAfterNoOwner))
}
