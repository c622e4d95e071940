package dispatch

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/scheduling"
)

// estimator estimates the latency of a request of a class at an upstream, and learns from
// the responses. *balance.Picker implements it.
type estimator interface {
	// Estimate returns how long the request would queue there, and how long the upstream
	// would work on it; known is false if nothing is known of the class.
	Estimate(u *catalogue.Upstream, class desired.Class, now time.Time) (queueing, work time.Duration, known bool)
	// FreeSlots returns the upstream's slots less the requests in flight there.
	FreeSlots(u *catalogue.Upstream, now time.Time) int
}

// urgency is what the requests to a contended service are scheduled by.
type urgency struct {
	// mostUrgent is the most urgent class of the service.
	mostUrgent desired.Class
	// lost is the time that the caller has lost by earlier refusals; 0 for a new request.
	lost time.Duration
	// result is that of the last wait for room.
	result scheduling.Result
}

// SchedulingSummary describes how a request to a competing service was scheduled.
type SchedulingSummary struct {
	Priority int
	// Lost is the time that the caller had lost by earlier refusals; 0 for a new request.
	Lost time.Duration
	// ExpectedWait and ExpectedWork are the estimates on which a refusal rests; 0 if unknown.
	ExpectedWait, ExpectedWork time.Duration
}

// setScheduling copies the scheduling of the request into the summary.
func (s *RequestSummary) setScheduling(req *request) {
	if u := req.urgency; u != nil {
		s.Scheduling = &SchedulingSummary{Priority: req.class.Priority, Lost: u.lost, ExpectedWait: u.result.ExpectedWait, ExpectedWork: u.result.ExpectedWork}
	}
}

// schedulers holds the scheduler of each unkeyed competing service, and the timeouts that
// callers of each route to a competing service state.
type schedulers struct {
	mu        sync.Mutex
	byService map[string]*scheduling.Service
	byRoute   map[string]*scheduling.Timeouts
	mixes     map[string]*scheduling.Mix
}

func newSchedulers() *schedulers {
	return &schedulers{byService: map[string]*scheduling.Service{}, byRoute: map[string]*scheduling.Timeouts{}, mixes: map[string]*scheduling.Mix{}}
}

// service returns the scheduler of the named service.
func (s *schedulers) service(name string) *scheduling.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	sched := s.byService[name]
	if sched == nil {
		sched = &scheduling.Service{}
		s.byService[name] = sched
	}
	return sched
}

// contended counts a request of the class, and reports whether its service is contended.
func (s *schedulers) contended(class desired.Class, now time.Time) bool {
	s.mu.Lock()
	mix := s.mixes[class.Service]
	if mix == nil {
		mix = &scheduling.Mix{}
		s.mixes[class.Service] = mix
	}
	s.mu.Unlock()
	return mix.Record(class, now)
}

// SchedulingQueues returns the number of waiting requests of each unkeyed competing service.
func (d *Dispatcher) SchedulingQueues() map[string]int {
	d.schedulers.mu.Lock()
	defer d.schedulers.mu.Unlock()
	out := make(map[string]int, len(d.schedulers.byService))
	for name, s := range d.schedulers.byService {
		out[name] = s.Waiting()
	}
	return out
}

// lost returns the time that a caller of the route has lost, by the timeout that it states.
func (s *schedulers) lost(route *desired.Route, stated time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeouts := s.byRoute[route.Name]
	if timeouts == nil {
		timeouts = &scheduling.Timeouts{}
		s.byRoute[route.Name] = timeouts
	}
	return timeouts.Lost(stated, route.Timeout)
}

// newUrgency returns the urgency of a request of the class to a competing service, with the given
// value of the timeout header; nil if the service is not contended at present.
func (d *Dispatcher) newUrgency(state *desired.State, route *desired.Route, class desired.Class, timeoutMs string) *urgency {
	if !d.schedulers.contended(class, time.Now()) {
		return nil
	}
	u := &urgency{mostUrgent: state.Classes(class.Service)[0]}
	if ms, err := strconv.Atoi(timeoutMs); err == nil {
		u.lost = d.schedulers.lost(route, time.Duration(ms)*time.Millisecond)
	}
	return u
}

// placement implements scheduling.Place for one attempt.
type placement struct {
	d        *Dispatcher
	req      *request
	upstream *catalogue.Upstream
	ticket   *admission.Ticket
	// refusal is set if there is no upstream.
	refusal *Refusal
}

// Find implements scheduling.Place.
func (p *placement) Find(now time.Time) (scheduling.Offer, bool) {
	p.upstream, p.refusal = p.d.pickUpstream(p.req)
	if p.refusal != nil {
		return scheduling.Offer{}, false
	}
	e := p.d.estimator
	o := scheduling.Offer{Slots: p.upstream.Slots, FreeSlots: e.FreeSlots(p.upstream, now)}
	o.Queueing, o.Work, o.Known = e.Estimate(p.upstream, p.req.class, now)
	_, o.UrgentWork, _ = e.Estimate(p.upstream, p.req.urgency.mostUrgent, now)
	return o, true
}

// Take implements scheduling.Place.
func (p *placement) Take() bool {
	p.ticket = p.d.picker.Limiter(p.upstream.ID).TryAcquire(p.d.admissionLimitRange(p.upstream, p.req.service))
	return p.ticket != nil
}

// schedulingRequest describes the request for scheduling.
func (req *request) schedulingRequest() *scheduling.Request {
	u := req.urgency
	return &scheduling.Request{Class: req.class, MostUrgent: u.mostUrgent, Arrived: req.arrived, Deadline: req.deadline, Lost: u.lost, MayHaveRun: req.mayHaveRun}
}

// acquireRanked waits for admission of a request to a keyed competing service at the owner of
// its key. It returns nil if the request cannot be served in time.
func (d *Dispatcher) acquireRanked(ctx context.Context, req *request, u *catalogue.Upstream, limiter *admission.Limiter) *admission.Ticket {
	now, urgency := time.Now(), req.urgency
	queueing, work, known := d.estimator.Estimate(u, req.class, now)
	r := req.schedulingRequest()
	urgency.result = scheduling.Result{ExpectedWait: limiter.State().ExpectedWait + queueing, ExpectedWork: work}
	if known && r.TooLate(queueing, work, now) {
		return nil
	}
	return limiter.AcquireRanked(ctx, r, r.MaxWait(queueing+work, now), d.admissionLimitRange(u, req.service))
}

// admitByUrgency chooses the upstream for the next attempt of a request to an unkeyed
// competing service. The request waits in the service's queue until an upstream has room for
// it, or is refused if it cannot be served in time.
func (d *Dispatcher) admitByUrgency(ctx context.Context, req *request, summary *RequestSummary) (*catalogue.Upstream, *admission.Ticket, *Refusal) {
	u, r := req.urgency, req.schedulingRequest()
	p := &placement{d: d, req: req}
	queued := time.Now()
	u.result = d.schedulers.service(req.service.Name).Admit(ctx, r, p)
	summary.QueueTime += time.Since(queued)
	switch u.result.Outcome {
	case scheduling.Admitted:
		return p.upstream, p.ticket, nil
	case scheduling.NoUpstream:
		return nil, nil, p.refusal
	case scheduling.Refused:
		summary.Upstream, summary.LimiterState = p.upstream.ID, d.picker.Limiter(p.upstream.ID).State()
		refusal := d.notAdmittedRefusal(ctx, req)
		refusal.roomIn = u.result.ExpectedWait + u.result.ExpectedWork - req.route.LatencyObjective
		return nil, nil, refusal
	}
	return nil, nil, d.notAdmittedRefusal(ctx, req)
}

// released tells the scheduler of an unkeyed competing service that there may be room.
func (d *Dispatcher) released(req *request) {
	if req.urgency != nil && req.key < 0 {
		d.schedulers.service(req.service.Name).Released()
	}
}
