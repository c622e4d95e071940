package dispatch

import (
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/retryafter"
)

// callerTransit is the round trip to the most distant callers, 16 ms, and some delay. It is
// subtracted from the time that a caller has left. The caller computes its third of it when it
// has received the refusal, and a longer Retry-After would make it give up or return early.
const callerTransit = 20 * time.Millisecond

// scheduleReturn records in the schedule of promised returns that a request was admitted or, if
// overloaded upstreams are the reason for its refusal, when its caller is to return, and sets the
// refusal's Retry-After. Only contended services deviate from retryAfterOverloaded.
func (d *Dispatcher) scheduleReturn(req *request, summary *RequestSummary, refusal *Refusal, now time.Time) {
	if req.urgency == nil {
		return
	}
	class := req.class
	if refusal == nil || req.mayHaveRun {
		d.returns.Admitted(class, now)
		return
	}
	if refusal.Cause != CauseOverloaded && refusal.Cause != CauseShare {
		return
	}
	left := req.deadline.Sub(now) - callerTransit
	latest := min(left/3, left-d.expectedWork(class))
	if latest <= 0 {
		return // No return can be served before the deadline.
	}
	if req.key < 0 {
		earliest := max(refusal.roomIn, summary.LimiterState.ExpectedWait-time.Duration(queueWaitFraction*float64(class.Objective)), 0)
		refusal.RetryAfter = d.returns.Promise(class, min(earliest, latest), latest, now)
		return
	}
	if !d.returns.Full(class, req.retryAfterOverloaded(), now) {
		d.returns.Record(class, refusal.RetryAfter, now)
		return
	}
	refusal.RetryAfter = d.returns.Promise(class, min(refusal.RetryAfter, latest), latest, now)
}

// expectedWork returns how long an upstream is expected to work on a request of the class: what
// ExpectedWork knows, or the part of the objective that is not spent waiting for admission.
func (d *Dispatcher) expectedWork(class desired.Class) time.Duration {
	if work, ok := d.ExpectedWork(class); ok {
		return work
	}
	return time.Duration((1 - queueWaitFraction) * float64(class.Objective))
}

// PromisedReturns returns the number of refused requests of the class whose Retry-After has not
// passed yet.
func (d *Dispatcher) PromisedReturns(class desired.Class, now time.Time) int {
	return d.returns.Outstanding(class, now)
}

// ReturnCounts returns the counts of promised returns.
func (d *Dispatcher) ReturnCounts() retryafter.Counts { return d.returns.Counts() }
