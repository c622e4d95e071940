package dispatch

import "time"

// shareRefusal returns a refusal if this host's share of a contended service is used up, and nil if
// the request is admitted. It is called once per request, before its first attempt. Services with
// keys are not divided: a key's owner is the only choice.
//
// The room of a service is an estimate. A request is therefore admitted beyond the share while an
// upstream has a free slot by this host's own view. The most urgent class counts against the share
// but is never refused here: scheduling refuses what no upstream can serve in time.
func (d *Dispatcher) shareRefusal(req *request, now time.Time) *Refusal {
	if d.Gate == nil || req.key >= 0 || req.urgency == nil {
		return nil
	}
	if ok, _ := d.Gate.Admit(req.class, 0, now); ok || req.highestPriority || d.hasFreeSlot(req, now) {
		return nil
	}
	return req.refusal(CauseShare, req.retryAfterOverloaded())
}

// hasFreeSlot reports whether the upstream that the request would be sent to has a free slot.
func (d *Dispatcher) hasFreeSlot(req *request, now time.Time) bool {
	u, refusal := d.pickUpstream(req)
	return refusal == nil && d.picker.HasFreeSlot(u, now)
}
