package dispatch

import "time"

// shareRefusal returns a refusal if this host's share of a contended service is used up, and nil if
// the request is admitted. It is called once per request, before its first attempt. Services with
// keys are not divided: a key's owner is the only choice.
//
// The most urgent class counts against the share but is never refused here: the room of a service is
// an estimate, and scheduling refuses what no upstream can serve in time.
func (d *Dispatcher) shareRefusal(req *request, now time.Time) *Refusal {
	if d.Gate == nil || req.key >= 0 || req.urgency == nil {
		return nil
	}
	if ok, _ := d.Gate.Admit(req.urgency.class, 0, now); ok || req.highestPriority {
		return nil
	}
	return req.refusal(CauseShare, req.retryAfterOverloaded())
}
