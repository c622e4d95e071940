package dispatch

import (
	"context"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/view"
)

// chooseUpstream returns the upstream for the next attempt. An unkeyed request that was not sent
// yet is refused if the latency expected there exceeds the objective: in the queue it would also
// delay the requests behind it. Competing services are judged in admitByUrgency instead.
func (d *Dispatcher) chooseUpstream(ctx context.Context, req *request) (*catalogue.Upstream, *Refusal) {
	if req.key >= 0 {
		return d.chooseOwner(ctx, req)
	}
	u, refusal := d.pickUpstream(req)
	if refusal != nil || req.attempts > 0 {
		return u, refusal
	}
	if excess := d.picker.ExpectedLatency(u, time.Now()) - req.route.LatencyObjective; excess > 0 {
		refusal = req.refusal(CauseOverloaded, req.retryAfterOverloaded())
		refusal.roomIn = excess
		return nil, refusal
	}
	return u, nil
}

// pickUpstream returns the best upstream for an unkeyed request.
func (d *Dispatcher) pickUpstream(req *request) (*catalogue.Upstream, *Refusal) {
	v := d.views.Load()
	criteria := balance.Criteria{LocalDataCentre: d.localDataCentre, RemotePenalty: req.route.LatencyObjective / 4, Excluded: req.attempted, SlowStart: d.slowStart(req.service),
		Class: req.contendedClass(),
		Unavailable: func(id string) bool {
			wait, _ := d.unavailableFor(id, time.Now())
			u := v.Upstreams.ByID[id]
			return wait > 0 || (u != nil && !d.reachable(u, time.Now()))
		}}
	upstreams := v.Upstreams.ForService(req.service.Name)
	u := d.picker.Pick(upstreams, criteria, time.Now())
	if u == nil && req.mayHaveRun {
		// All upstreams are eligible again: one that responded with an error or closed
		// the connection may serve the retry. If no attempt can have run, each of them
		// was unreachable or rejected the request, and would probably do so again.
		criteria.Excluded = nil
		u = d.picker.Pick(upstreams, criteria, time.Now())
	}
	if u == nil {
		return nil, d.noUpstreamRefusal(req, upstreams, time.Now())
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
			if d.picker.IsEjected(u.ID, now) || !d.reachable(u, now) {
				return nil, req.refusal(CauseUnreachable, retryAfterNoOwner)
			}
			if d.picker.Silent(u.ID, now) || d.silentBeyondObjective(req, u, now) {
				return nil, req.refusal(CauseOverloaded, req.retryAfterOverloaded())
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
		if (u != nil && u.HandingOver() && now.Sub(u.HandoverBy) > handoverGrace) || !req.awaitViewChange(ctx, v) {
			return nil, req.refusal(CauseNoOwner, retryAfterNoOwner)
		}
	}
}

// handoverGrace is how long after an upstream's HandoverBy requests still wait for the
// handover of its keys. After that the handover is taken to be blocked, as when the log
// service cannot be written to.
const handoverGrace = time.Second

// servesOwnedKeys reports whether requests for the keys that the upstream owns may be sent to
// it: none if it is Leaving, and until HandoverBy if it is HandingOver, because it reported
// that it will stop or its data centre is evacuated. Requests without a key are not sent to a
// Draining upstream, which is one that is Leaving or HandingOver.
func servesOwnedKeys(u *catalogue.Upstream, now time.Time) bool {
	return !u.Leaving && (!u.HandingOver() || now.Before(u.HandoverBy))
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
// has waited for ownerWaitFraction of its latency objective, or ctx is done.
func (req *request) awaitViewChange(ctx context.Context, v *view.View) bool {
	left := time.Duration(ownerWaitFraction*float64(req.route.LatencyObjective)) - req.ownerWait
	if !req.mayHaveRun {
		left = min(left, time.Until(req.refuseBy()))
	}
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
