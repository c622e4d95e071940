package dispatch

import (
	"time"

	"github.com/papayatide/papayatide/internal/balance"
)

// shareRefusal returns a refusal if this host's share of a competing service is used up, and
// nil if the request is admitted. It is called once per request, before its first attempt.
// Services with keys are not divided: a key's owner is the only choice.
//
// The room of a service is an estimate. The most urgent class is therefore not refused while
// an upstream, of any data centre, has a free slot by this host's own view.
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
