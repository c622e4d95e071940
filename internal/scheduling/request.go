// Package scheduling decides which request to a competing service runs next, which waits and
// which is refused at once. Each host decides for itself, from its own requests and the load
// data of its data centre; see docs/design/urgency-scheduling.md.
package scheduling

import (
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

// Rank orders requests: by priority, then by the time left to the objective.
type Rank struct {
	// Priority is that of the request's class; 0 is the most urgent.
	Priority int
	// Due is when the caller's objective ends.
	Due time.Time
}

// Before reports whether a request with this rank goes ahead of one with the other.
func (r Rank) Before(other Rank) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return r.Due.Before(other.Due)
}

// Request is a request to be scheduled.
type Request struct {
	Class desired.Class
	// MostUrgent is the most urgent class of the service.
	MostUrgent        desired.Class
	Arrived, Deadline time.Time
	// Lost is the time that the caller has lost since its first attempt, by refusals; 0 for
	// a new request.
	Lost time.Duration
	// MayHaveRun is set if an attempt was made that may have run: a refusal no longer tells
	// the caller that it can safely retry.
	MayHaveRun bool
}

// Rank returns the request's rank.
func (r *Request) Rank() Rank {
	return Rank{Priority: r.Class.Priority, Due: r.Arrived.Add(r.Class.Objective - r.Lost)}
}

// LessUrgent reports whether the service has a class of higher priority.
func (r *Request) LessUrgent() bool { return r.Class.Priority > r.MostUrgent.Priority }

// returningFraction is the fraction of the objective within which the response to a returning
// caller must be expected. Such a caller is late anyway: with longer queues for it, new
// requests would be refused, return, and be late too (TestBrowsingKeepsATenthOfTheWork).
const returningFraction = 0.8

// latestResponse returns the time by which the response of a request must be expected: within
// the objective for a new request, earlier for a returning caller that can retry again, and up
// to the deadline for one that cannot, to which a late response is still worth something.
func (r *Request) latestResponse() time.Time {
	due := r.Arrived.Add(r.Class.Objective)
	switch {
	case r.MayHaveRun || !r.Deadline.After(due):
		return r.Deadline
	case r.Lost > 0:
		return r.Arrived.Add(time.Duration(returningFraction * float64(r.Class.Objective)))
	}
	return due
}

// holdFraction is the fraction of its objective that a less urgent request may wait for room
// that the most urgent class does not need. The rest is for the upstream's work.
const holdFraction = 0.5

// holdUntil returns until when the request may wait; work is its expected work, 0 if unknown.
func (r *Request) holdUntil(work time.Duration) time.Time {
	until := r.latestResponse().Add(-work)
	if half := r.Arrived.Add(time.Duration(holdFraction * float64(r.Class.Objective))); (r.LessUrgent() || work == 0) && half.Before(until) {
		return half
	}
	return until
}

// MaxWait returns how long the request may wait for admission at an upstream where its
// expected latency is the given one, or 0 if it is unknown.
func (r *Request) MaxWait(latency time.Duration, now time.Time) time.Duration {
	return max(r.holdUntil(latency).Sub(now), 0)
}

// TooLate reports whether the response of a request sent now would come too late. Work alone,
// without queueing, is no reason to refuse: refusing all requests of a class would leave a
// wrong estimate without the responses that correct it.
func (r *Request) TooLate(queueing, work time.Duration, now time.Time) bool {
	return queueing > 0 && now.Add(queueing+work).After(r.latestResponse())
}

// Offer describes the upstream to which a request would be sent next.
type Offer struct {
	// Queueing and Work are the expected times that the request would queue and be worked on
	// there. Known is false if there is no estimate for its class.
	Queueing, Work time.Duration
	Known          bool
	// UrgentWork is the expected work of a request of the most urgent class; 0 if unknown.
	UrgentWork time.Duration
	// FreeSlots is how many of the upstream's Slots are free; it is negative while requests
	// queue there.
	Slots, FreeSlots int
}

// guardFraction is the fraction of the time that the most urgent class has for queueing
// within which a less urgent request may add to the queue. The load of the other hosts is
// known with a delay of a third of a second, in which they send to the same upstream: with a
// fraction of 1, a third of the urgent responses were late (TestPaymentsAreServedBeforeBrowsing).
const guardFraction = 0.3

// leavesRoom reports whether a request of the most urgent class that arrives at the upstream
// right after this one of a less urgent class would still meet its objective.
func (o *Offer) leavesRoom(urgentObjective time.Duration) bool {
	queueing := o.Queueing
	if o.FreeSlots <= 1 {
		queueing += o.Work / time.Duration(max(o.Slots, 1))
	}
	spare := max(urgentObjective-o.UrgentWork, 0)
	return queueing <= time.Duration(guardFraction*float64(spare))
}

type decision int

const (
	send decision = iota
	hold
	refuse
)

// decide returns what to do with a request whose turn it is. shareDue is set if the less
// urgent classes have had less than their share.
func decide(r *Request, o *Offer, shareDue bool, now time.Time) decision {
	if o.Known && r.TooLate(o.Queueing, o.Work, now) {
		return refuse
	}
	if r.LessUrgent() && !shareDue && o.UrgentWork > 0 && !o.leavesRoom(r.MostUrgent.Objective) {
		return hold
	}
	return send
}

const (
	// lessUrgentShare is the share of the work started that the less urgent classes keep.
	// Without it, a long overload by the most urgent class would serve none of the others.
	lessUrgentShare = 0.1
	// maxShareCredit bounds the work that the less urgent classes may start in a row after
	// they have waited, and what they start beyond their share that counts against it; about
	// two of their requests.
	maxShareCredit = 2 * time.Second
)

// WorkShare keeps the less urgent classes' share of the work started for a service. The zero
// value is ready for use.
type WorkShare struct{ credit time.Duration }

// Started records that a request with the given expected work was started. waiting is set if
// less urgent requests wait; without demand they earn no credit.
func (s *WorkShare) Started(lessUrgent, waiting bool, work time.Duration) {
	switch {
	case lessUrgent:
		s.credit = max(s.credit-work, -maxShareCredit)
	case waiting:
		s.credit = min(s.credit+time.Duration(float64(work)*lessUrgentShare/(1-lessUrgentShare)), maxShareCredit)
	}
}

// LessUrgentDue reports whether a less urgent request with the given expected work is due by
// the share.
func (s *WorkShare) LessUrgentDue(work time.Duration) bool {
	return s.credit > 0 && s.credit >= min(work, maxShareCredit)
}
