package dispatch

import (
	"context"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

// closed returns for how long the upstream takes no requests of this host, and
// why; 0 if one may be tried.
func (d *Dispatcher) closed(id string, now time.Time) (time.Duration, Cause) {
	if rest := d.feedback.Rest(id, now); rest > 0 {
		return rest, CauseResting
	}
	if d.feedback.Limit(id) == 0 {
		return 0, ""
	}
	return d.limits.Closed(id, now), CauseLimited
}

// take asks leave for a request that is about to be sent. It returns 0 if it may
// be, or else as closed does. Requests wait for their turn in between, so what was
// true when the upstream was chosen is asked again.
func (d *Dispatcher) take(ctx context.Context, id string) (time.Duration, Cause) {
	if rest := d.feedback.Rest(id, time.Now()); rest > 0 {
		return rest, CauseResting
	}
	limit := d.feedback.Limit(id)
	if limit == 0 {
		return 0, ""
	}
	if ok, wait := d.limits.Take(ctx, id, limit); !ok {
		return max(wait, 1), CauseLimited
	}
	return 0, ""
}

// soonestOpen returns how long it is until one of the upstreams takes a request
// again, and why not now; 0 if none is closed.
func (d *Dispatcher) soonestOpen(ups []*catalogue.Upstream, now time.Time) (soonest time.Duration, why Cause) {
	for _, u := range ups {
		if u.Retiring() {
			continue
		}
		if wait, cause := d.closed(u.ID, now); wait > 0 && (soonest == 0 || wait < soonest) {
			soonest, why = wait, cause
		}
	}
	return soonest, why
}

// closedRefusal ends a request for which only upstreams are left that take none
// for so long. Keys of an upstream with a limit may have another owner by then.
func (q *request) closedRefusal(wait time.Duration, cause Cause) *Refusal {
	return q.endUnsent(cause, min(max(wait, q.soon()), retryNoOwner))
}
