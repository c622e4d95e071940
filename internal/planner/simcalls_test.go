package planner

import (
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// responseOutageLossRate is the fraction of an upstream's responses lost during a response outage.
const responseOutageLossRate = 0.85

// callTimeout is how long a host waits for the response to a call.
const callTimeout = 300 * time.Millisecond

// callUpstream delivers a call after a short network delay, unless a fault prevents
// it, and passes the result to done. The upstream executes the call on arrival and
// responds after work. If mayExecuteLate is set, a fault can make it execute the call 2
// to 12 s after the arrival and never respond.
func (s *simulation) callUpstream(h *simHost, id string, do func(arrived bootclock.Time) error, work time.Duration, mayExecuteLate bool, done func(error)) {
	if s.holdsUp(h, id) {
		s.holdUp(h, id, do, done)
		return
	}
	if s.now.Before(h.unreachableUntil[id]) || s.now.Before(h.cutOffUntil) || !s.upstream(id).up {
		err := ownership.ErrNotSent
		if s.rng.IntN(3) == 0 {
			err = ownership.ErrNoResponse
		}
		s.after(callTimeout, func() { done(err) })
		return
	}
	x := s.rng.Float64()
	s.after(s.randomDuration(time.Millisecond, 40*time.Millisecond), func() {
		arrived := s.now
		h.lastExchangeAt[id] = arrived
		switch {
		case x < s.faults.responseLost, x < responseOutageLossRate && s.now.Before(s.upstream(id).responsesLostUntil):
			_ = do(arrived)
			s.after(callTimeout, func() { done(ownership.ErrNoResponse) })
		case mayExecuteLate && x < s.faults.responseLost+s.faults.grantLate:
			s.after(s.randomDuration(2*time.Second, 12*time.Second), func() { _ = do(arrived) })
			s.after(callTimeout, func() { done(ownership.ErrNoResponse) })
		default:
			err := do(arrived)
			s.after(work, func() { done(err) })
		}
	})
}
