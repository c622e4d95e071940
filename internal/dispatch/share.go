package dispatch

import (
	"time"

	"github.com/papayatide/papayatide/internal/balance"
)

// shareRefusal returns a refusal if this host's share of a competing unkeyed service is used up,
// else nil. It is called once per request, before its first attempt. The most urgent class is not
// refused while an upstream has a free slot: the room of a service is an estimate.
func (d *Dispatcher) shareRefusal(req *request, now time.Time) *Refusal {
	v := d.views.Load()
	if d.Gate == nil || req.key >= 0 || req.urgency == nil {
		return nil
	}
	if ok, _ := d.Gate.Admit(req.route.ClassFor(req.service.Name), 0, now); ok {
		return nil
	}
	if req.highestPriority {
		criteria := balance.Criteria{LocalDataCentre: d.localDataCentre, SlowStart: d.slowStart(req.service),
			Unavailable: func(id string) bool { wait, _ := d.unavailableFor(id, now); return wait > 0 }}
		if u := d.picker.Pick(v.Upstreams.ForService(req.service.Name), criteria, now); u != nil && d.picker.HasFreeSlot(u, now) {
			return nil
		}
	}
	return req.refusal(CauseShare, req.retryAfterOverloaded())
}
