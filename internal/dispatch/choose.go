package dispatch

import (
	"context"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/view"
)

// chooseUpstream returns the upstream to send to next. A request whose answer would come
// later than its objective, as all hosts' requests there tell, is refused at once:
// queued, it would make those behind it late as well.
func (d *Dispatcher) chooseUpstream(ctx context.Context, q *request) (*catalogue.Upstream, *Refusal) {
	if q.key >= 0 {
		return d.chooseOwner(ctx, q)
	}
	v := d.views.Load()
	c := balance.Criteria{LocalDataCentre: d.localDataCentre, FarPenalty: q.route.LatencyObjective / 4, Excluded: q.attempted, SlowStart: d.slowStart(q.service),
		Unavailable: func(id string) bool { wait, _ := d.unavailableFor(id, time.Now()); return wait > 0 }}
	ups := v.Upstreams.ForService(q.service.Name)
	u := d.picker.Pick(ups, c, time.Now())
	if u == nil && q.mayHaveRun {
		// A broken answer says little of the next one; a refusal for want of
		// room would only be repeated.
		c.Excluded = nil
		u = d.picker.Pick(ups, c, time.Now())
	}
	if u == nil {
		return nil, d.noUpstreamRefusal(q, ups, time.Now())
	}
	if q.attempts == 0 && d.picker.ExpectedLatency(u, time.Now()) > q.route.LatencyObjective {
		return nil, q.refusal(CauseFull, q.retryAfterFull())
	}
	return u, nil
}

// noUpstreamRefusal ends a request for which none of the upstreams is left.
func (d *Dispatcher) noUpstreamRefusal(q *request, ups []*catalogue.Upstream, now time.Time) *Refusal {
	if wait, cause := d.soonestAvailable(ups, now); wait > 0 {
		return q.unavailableRefusal(wait, cause)
	}
	if len(q.attempted) > 0 {
		return q.noRetryRefusal()
	}
	if cold := anyCold(ups, now); cold != nil {
		return q.coldRefusal(cold, now)
	}
	return q.refusal(CauseNoUpstream, retryAfterNoOwner)
}

// chooseOwner returns the owner of the request's key, waiting a little for one.
func (d *Dispatcher) chooseOwner(ctx context.Context, q *request) (*catalogue.Upstream, *Refusal) {
	for {
		v := d.views.Load()
		now := time.Now()
		u, fence := v.Owner(q.service.Name, q.key)
		if u != nil && servesOwnedKeys(u, now) && !d.rejectedGrants.recent(q.service.Name, fence, u.ID, now) {
			if d.picker.IsEjected(u.ID, now) {
				return nil, q.refusal(CauseUnreachable, retryAfterNoOwner)
			}
			if wait, cause := d.unavailableFor(u.ID, now); wait > 0 {
				return nil, q.unavailableRefusal(wait, cause)
			}
			if !d.picker.SlowStartAllows(u, d.slowStart(q.service), now) {
				return nil, q.coldRefusal(u, now)
			}
			q.lastFencingToken = fence
			return u, nil
		}
		if (u != nil && u.HandingOver() && now.Sub(u.LeaveBy) > handoverGrace) || !q.awaitViewChange(ctx, v) {
			return nil, q.refusal(CauseNoOwner, retryAfterNoOwner)
		}
	}
}

// overdue is how long after its time an upstream that still owns keys counts as one
// that cannot hand them over at present: the log service cannot be written to.
const handoverGrace = time.Second

// servesOwnedKeys reports whether requests for the keys that the upstream owns may be sent
// to it: it is not leaving, nor is the time over in which it hands its keys over.
func servesOwnedKeys(u *catalogue.Upstream, now time.Time) bool {
	return !u.Leaving && (!u.HandingOver() || now.Before(u.LeaveBy))
}

// waitForOwnerChange waits until the ownership table is newer than the one under
// which the request was refused.
func (d *Dispatcher) waitForOwnerChange(ctx context.Context, q *request) *Refusal {
	for {
		v := d.views.Load()
		u, fence := v.Owner(q.service.Name, q.key)
		if u != nil && (fence != q.lastFencingToken || u.ID != q.lastUpstream) {
			return nil
		}
		if !q.awaitViewChange(ctx, v) {
			return q.refusal(CauseMoved, retryAfterMoved)
		}
	}
}

// awaitViewChange waits for a newer view than v. It reports false when the request
// has waited as long as it should.
func (q *request) awaitViewChange(ctx context.Context, v *view.View) bool {
	left := time.Duration(ownerWaitShare*float64(q.route.LatencyObjective)) - q.ownerWait
	if left <= 0 {
		return false
	}
	start := time.Now()
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-v.Changed():
		q.ownerWait += time.Since(start)
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}
