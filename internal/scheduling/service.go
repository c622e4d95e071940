package scheduling

import (
	"context"
	"sync"
	"time"
)

const (
	// pollInterval is how often the first waiter of the most urgent class looks for room that
	// no response of this host announced: at upstreams whose requests in flight are other
	// hosts', or whose limiter spaces out requests. It is short against every objective, and
	// 50 looks a second cost a host of 0.12 of a core less than a request.
	pollInterval = 20 * time.Millisecond
	// lessUrgentPollInterval is that of the less urgent classes, the interval of new load data:
	// looking more often finds the same upstreams free, to which all hosts then send.
	lessUrgentPollInterval = 330 * time.Millisecond
	// maxLooks is how many times a new request of the most urgent class looks for an upstream
	// that would respond in time before it is refused, each time among a few upstreams. A
	// returning one looks once: it would be late, and take the room that new ones find.
	maxLooks = 3
)

// Place finds and reserves room for one request.
type Place interface {
	// Find chooses the upstream to which the request would be sent; false if there is none.
	Find(now time.Time) (Offer, bool)
	// Take reserves room at the upstream that Find chose last; false if there is none.
	Take() bool
}

// Outcome is how the wait for room ended.
type Outcome int

const (
	// Admitted means that Take succeeded.
	Admitted Outcome = iota
	// Refused means that the request cannot be served in time.
	Refused
	// NoUpstream means that Find found no upstream.
	NoUpstream
	// ContextDone means that the context ended first.
	ContextDone
)

// Result is the outcome of Admit, with the estimates on which it rests.
type Result struct {
	Outcome Outcome
	// ExpectedWait is the expected time until the request would have run, and ExpectedWork
	// its work; 0 if unknown.
	ExpectedWait, ExpectedWork time.Duration
}

// Service schedules the requests of this host to an unkeyed competing service, across its
// upstreams. The zero value is ready for use. It is safe for concurrent use.
type Service struct {
	mu    sync.Mutex
	queue queue
}

// Admit waits until it is the request's turn and there is room for it, or refuses it.
func (s *Service) Admit(ctx context.Context, r *Request, place Place) Result {
	w := &waiter{request: r, rank: r.Rank(), wake: make(chan struct{}, 1)}
	now := time.Now()
	s.mu.Lock()
	s.queue.push(w, now)
	s.mu.Unlock()
	defer s.leave(w)
	wait := s.expectedWait(w, now)
	res := Result{Outcome: Refused}
	for waited := false; ; waited = true {
		now = time.Now()
		isNext, shareDue := s.turn(w)
		if isNext || !waited {
			offer, what, ok := look(r, place, shareDue, now)
			if !ok {
				return Result{Outcome: NoUpstream}
			}
			res.ExpectedWait, res.ExpectedWork = wait+offer.Queueing, offer.Work
			s.setWork(w, offer.Work)
			switch what {
			case refuse:
				return res
			case send:
				if isNext && place.Take() {
					s.started(w, waited)
					res.Outcome = Admitted
					return res
				}
			}
		}
		until := r.holdUntil(res.ExpectedWork)
		if late := now.Add(wait); !now.Before(until) || (!waited && late.After(until)) {
			return res
		}
		if !s.await(ctx, w, until, now) {
			return Result{Outcome: ContextDone}
		}
	}
}

// look finds an upstream and decides whether to send the request there; ok is false if there
// is no upstream.
func look(r *Request, place Place, shareDue bool, now time.Time) (offer Offer, what decision, ok bool) {
	looks := 1
	if !r.LessUrgent() && r.Lost == 0 {
		looks = maxLooks
	}
	for range looks {
		if offer, ok = place.Find(now); !ok {
			return offer, refuse, false
		}
		if what = decide(r, &offer, shareDue, now); what == send {
			break
		}
	}
	return offer, what, true
}

// turn reports whether it is the waiter's turn, and whether the less urgent classes are due
// their share.
func (s *Service) turn(w *waiter) (isNext, shareDue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.isNext(w), s.queue.shareDue()
}

// expectedWait returns how long the waiter is expected to wait if there is no room now.
func (s *Service) expectedWait(w *waiter, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.line(w).expectedWait(w, now)
}

func (s *Service) setWork(w *waiter, work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.work = work
}

func (s *Service) started(w *waiter, waited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.started(w, waited, time.Now())
}

// leave takes the waiter out of the queue, and lets the next ones look for room.
func (s *Service) leave(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.remove(w, time.Now())
	s.queue.wakeFirst()
}

// Released tells the scheduler that a request to the service has ended: there may be room.
func (s *Service) Released() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.wakeFirst()
}

// await returns true when the waiter may look for room again: it was signalled, until has
// come, or it is the first and its poll interval has passed. It returns false when ctx ends.
func (s *Service) await(ctx context.Context, w *waiter, until, now time.Time) bool {
	wait := until.Sub(now)
	if s.isFirst(w) {
		wait = min(wait, pollIntervalOf(w.request))
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w.wake:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func pollIntervalOf(r *Request) time.Duration {
	if r.LessUrgent() {
		return lessUrgentPollInterval
	}
	return pollInterval
}

func (s *Service) isFirst(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.index == 0
}

// Waiting returns the number of waiting requests.
func (s *Service) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue.urgent.waiters) + len(s.queue.lessUrgent.waiters)
}
