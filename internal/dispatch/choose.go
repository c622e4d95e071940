package dispatch

import (
	"context"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/view"
)

// chooseUpstream returns the upstream for the next attempt. It refuses a request
// whose latency, expected from all hosts' requests in flight at the upstream, exceeds
// the objective: queued, it would delay the requests behind it as well.
func (d *Dispatcher) chooseUpstream(ctx context.Context, req *request) (*catalogue.Upstream, *Refusal) {
	if req.key >= 0 {
		return d.chooseOwner(ctx, req)
	}
	v := d.views.Load()
	criteria := balance.Criteria{LocalDataCentre: d.localDataCentre, FarPenalty: req.route.LatencyObjective / 4, Excluded: req.attempted, SlowStart: d.slowStart(req.service),
		Unavailable: func(id string) bool { wait, _ := d.unavailableFor(id, time.Now()); return wait > 0 }}
	upstreams := v.Upstreams.ForService(req.service.Name)
	u := d.picker.Pick(upstreams, criteria, time.Now())
	if u == nil && req.mayHaveRun {
		// An upstream that failed or broke off may still serve the retry. One that
		// rejected the request as overloaded would only reject it again.
		criteria.Excluded = nil
		u = d.picker.Pick(upstreams, criteria, time.Now())
	}
	if u == nil {
		return nil, d.noUpstreamRefusal(req, upstreams, time.Now())
	}
	if req.attempts == 0 && d.picker.ExpectedLatency(u, time.Now()) > req.route.LatencyObjective {
		return nil, req.refusal(CauseOverloaded, req.retryAfterOverloaded())
	}
	return u, nil
}

// noUpstreamRefusal returns the refusal of a request for which no upstream is left.
func (d *Dispatcher) noUpstreamRefusal(req *request, upstreams []*catalogue.Upstream, now time.Time) *Refusal {
	if wait, cause := d.soonestAvailable(upstreams, now); wait > 0 {
		return req.unavailableRefusal(wait, cause)
	}
	if len(req.attempted) > 0 {
		return req.noRetryRefusal()
	}
	if cold := anyCold(upstreams, now); cold != nil {
		return req.coldRefusal(cold, now)
	}
	return req.refusal(CauseNoUpstream, retryAfterNoOwner)
}

// chooseOwner returns the owner of the request's key. If there is none it waits for
// one, for a limited time.
func (d *Dispatcher) chooseOwner(ctx context.Context, req *request) (*catalogue.Upstream, *Refusal) {
	for {
		v := d.views.Load()
		now := time.Now()
		u, token := v.Owner(req.service.Name, req.key)
		if u != nil && servesOwnedKeys(u, now) && !d.rejectedGrants.recent(req.service.Name, token, u.ID, now) {
			if d.picker.IsEjected(u.ID, now) {
				return nil, req.refusal(CauseUnreachable, retryAfterNoOwner)
			}
			if wait, cause := d.unavailableFor(u.ID, now); wait > 0 {
				return nil, req.unavailableRefusal(wait, cause)
			}
			if !d.picker.SlowStartAllows(u, d.slowStart(req.service), now) {
				return nil, req.coldRefusal(u, now)
			}
			req.lastFencingToken = token
			return u, nil
		}
		if (u != nil && u.HandingOver() && now.Sub(u.LeaveBy) > handoverGrace) || !req.awaitViewChange(ctx, v) {
			return nil, req.refusal(CauseNoOwner, retryAfterNoOwner)
		}
	}
}

// handoverGrace is how long after its LeaveBy requests still wait for an upstream to
// hand over its keys. After that the handover is taken to be blocked, as when the log
// service cannot be written to.
const handoverGrace = time.Second

// servesOwnedKeys reports whether requests for the keys that the upstream owns may be
// sent to it: it is not leaving, and its time to hand them over has not ended.
func servesOwnedKeys(u *catalogue.Upstream, now time.Time) bool {
	return !u.Leaving && (!u.HandingOver() || now.Before(u.LeaveBy))
}

// waitForOwnerChange waits until the key has another owner or fencing token than the
// one that rejected the request. It returns a refusal if that takes too long.
func (d *Dispatcher) waitForOwnerChange(ctx context.Context, req *request) *Refusal {
	for {
		v := d.views.Load()
		u, token := v.Owner(req.service.Name, req.key)
		if u != nil && (token != req.lastFencingToken || u.ID != req.lastUpstream) {
			return nil
		}
		if !req.awaitViewChange(ctx, v) {
			return req.refusal(CauseMoved, retryAfterMoved)
		}
	}
}

// awaitViewChange waits for a view newer than v. It returns false once the request
// has waited for ownerWaitShare of its latency objective, or ctx is done.
func (req *request) awaitViewChange(ctx context.Context, v *view.View) bool {
	left := time.Duration(ownerWaitFraction*float64(req.route.LatencyObjective)) - req.ownerWait
	if left <= 0 {
		return false
	}
	start := time.Now()
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-v.Changed():
		req.ownerWait += time.Since(start)
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}
