package dispatch

import (
	"context"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/view"
)

// choose returns the upstream to send to next. A request whose answer would come
// later than its objective, as all hosts' requests there tell, is refused at once:
// queued, it would make those behind it late as well.
func (d *Dispatcher) choose(ctx context.Context, q *request) (*catalogue.Upstream, *Refusal) {
	if q.key >= 0 {
		return d.owner(ctx, q)
	}
	v := d.views.Load()
	c := balance.Choice{Home: d.home, FarPenalty: q.route.Objective / 4, Not: q.tried, SlowStart: d.slowStart(q.service),
		Closed: func(id string) bool { wait, _ := d.closed(id, time.Now()); return wait > 0 }}
	ups := v.Upstreams.Of(q.service.Name)
	u := d.board.Pick(ups, c, time.Now())
	if u == nil && q.mayHaveRun {
		// A broken answer says little of the next one; a refusal for want of
		// room would only be repeated.
		c.Not = nil
		u = d.board.Pick(ups, c, time.Now())
	}
	if u == nil {
		return nil, d.noneLeft(q, ups, time.Now())
	}
	if q.sends == 0 && d.board.Expected(u, time.Now()) > q.route.Objective {
		return nil, q.endUnsent(CauseFull, q.soon())
	}
	return u, nil
}

// noneLeft ends a request for which none of the upstreams is left.
func (d *Dispatcher) noneLeft(q *request, ups []*catalogue.Upstream, now time.Time) *Refusal {
	if wait, cause := d.soonestOpen(ups, now); wait > 0 {
		return q.closedRefusal(wait, cause)
	}
	if len(q.tried) > 0 {
		return q.giveUp()
	}
	if cold := anyCold(ups, now); cold != nil {
		return q.coldRefusal(cold, now)
	}
	return q.endUnsent(CauseNoUpstream, retryNoOwner)
}

// owner returns the owner of the request's key, waiting a little for one.
func (d *Dispatcher) owner(ctx context.Context, q *request) (*catalogue.Upstream, *Refusal) {
	for {
		v := d.views.Load()
		now := time.Now()
		u, fence := v.Owner(q.service.Name, q.key)
		if u != nil && mayOwn(u, now) && !d.unheld.recent(q.service.Name, fence, u.ID, now) {
			if d.board.Out(u.ID, now) {
				return nil, q.endUnsent(CauseUnreachable, retryNoOwner)
			}
			if wait, cause := d.closed(u.ID, now); wait > 0 {
				return nil, q.closedRefusal(wait, cause)
			}
			if !d.board.ColdOpen(u, d.slowStart(q.service), now) {
				return nil, q.coldRefusal(u, now)
			}
			q.lastSeen = fence
			return u, nil
		}
		if (u != nil && u.HandingOver() && now.Sub(u.LeaveBy) > overdue) || !q.await(ctx, v) {
			return nil, q.endUnsent(CauseNoOwner, retryNoOwner)
		}
	}
}

// overdue is how long after its time an upstream that still owns keys counts as one
// that cannot hand them over at present: the log service cannot be written to.
const overdue = time.Second

// mayOwn reports whether requests for the keys that the upstream owns may be sent
// to it: it is not leaving, nor is the time over in which it hands its keys over.
func mayOwn(u *catalogue.Upstream, now time.Time) bool {
	return !u.Leaving && (!u.HandingOver() || now.Before(u.LeaveBy))
}

// waitForMove waits until the ownership table is newer than the one under
// which the request was refused.
func (d *Dispatcher) waitForMove(ctx context.Context, q *request) *Refusal {
	for {
		v := d.views.Load()
		u, fence := v.Owner(q.service.Name, q.key)
		if u != nil && (fence != q.lastSeen || u.ID != q.lastUp) {
			return nil
		}
		if !q.await(ctx, v) {
			return q.endUnsent(CauseMoved, retryMoved)
		}
	}
}

// await waits for a newer view than v. It reports false when the request
// has waited as long as it should.
func (q *request) await(ctx context.Context, v *view.View) bool {
	left := time.Duration(moveWait*float64(q.route.Objective)) - q.waited
	if left <= 0 {
		return false
	}
	start := time.Now()
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-v.Changed():
		q.waited += time.Since(start)
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}
