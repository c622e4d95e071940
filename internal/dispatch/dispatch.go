package dispatch

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/budget"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/protocol"
	"github.com/papayatide/papayatide/internal/ratelimit"
	"github.com/papayatide/papayatide/internal/reachability"
	"github.com/papayatide/papayatide/internal/retryafter"
	"github.com/papayatide/papayatide/internal/shares"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
)

// Retry-After delays of refusals. Most are varied by withJitter, so that callers
// refused at the same moment do not retry at the same moment.
const (
	// The first desired state is read within a few milliseconds of connecting to
	// the log service.
	retryAfterNoDesired = 300 * time.Millisecond
	// retryAfterTimeout is for requests that had not run when their deadline passed
	// or this host stopped.
	retryAfterTimeout = 300 * time.Millisecond
	// retryAfterMoved is about the time that a key takes to move to another owner.
	retryAfterMoved = 250 * time.Millisecond
	// retryAfterNoOwner is half of the default grant TTL of 3 s, for which a lost upstream's keys
	// have no owner; network partitions last seconds too. A delay of 0.5 s would have most retries
	// refused again. Callers cap it at a third of their timeout. It also applies if a service has no
	// upstream or the key's owner is ejected, and is the maximum for upstreams that are cold,
	// rate-limited or in backoff.
	retryAfterNoOwner = 1500 * time.Millisecond
	// retryAfterJitter is the width of the jitter as a fraction of the delay.
	retryAfterJitter = 0.5
)

// maxUnsentAttempts bounds one request's attempts of which no byte left this host.
const maxUnsentAttempts = 3

// ownerWaitFraction is the fraction of the latency objective that a request may
// spend waiting for an owner of its key. Beyond that the caller is better served
// by a refusal and a retry.
const ownerWaitFraction = 0.5

// Dispatcher forwards callers' requests to upstreams. It implements
// http.Handler.
type Dispatcher struct {
	headers               protocol.Headers
	localDataCentre       string
	views                 *view.Publisher
	client                *upstream.Client
	picker                *balance.Picker
	estimator             estimator
	schedulers            *schedulers
	retryBudget           *budget.Budget
	splitter              *splitter
	rejectedGrants        *rejectedGrants
	shutdown              *shutdown
	crashes               *crashes.Tracker
	unresolvedBrokenSends unresolvedBrokenSendList
	bodies                bodyBudgets
	// feedback holds what upstreams report in response headers; rateLimiter
	// enforces the rate limits that they report.
	feedback    *feedback.Tracker
	rateLimiter *ratelimit.Limiter
	// returns holds when the callers of refused requests were told to return.
	returns *retryafter.Schedule
	// hostCount is the number of hosts that share the upstreams, this one
	// included. While hostCountKnown is false it is only an assumption.
	hostCount      atomic.Int64
	hostCountKnown atomic.Bool
	detours        detours
	// Paths infers whether this host can reach any upstream.
	Paths *reachability.Paths
	// Reachability tracks which data centres this host can reach.
	Reachability *reachability.Tracker
	// SlowStartBounds limits what all hosts together send to a cold upstream.
	SlowStartBounds ratelimit.Bounds
	// ExpectedWork returns how long an upstream of median speed works on a request of the
	// class, and false if that is not known.
	ExpectedWork func(desired.Class) (time.Duration, bool)
	// Gate enforces this host's shares of scarce services; nil admits everything.
	Gate *shares.Gate
	// OnRequestDone is called after each request.
	OnRequestDone func(*RequestSummary)
	// OnBrokenSend is called after each broken send.
	OnBrokenSend func(*BrokenSend)
	// OnLostConnections is called when all connections to the upstream have ended although it
	// accepts new ones, so that it may have restarted.
	OnLostConnections func(*catalogue.Upstream)
}

// RequestSummary describes a finished request for logs, metrics and load
// reports.
type RequestSummary struct {
	ID, Route, Service, Upstream string
	// Class is the zero value if the request matched no route.
	Class desired.Class
	// Key is -1 for services that are not keyed.
	Key int
	// Status is the HTTP status of the response or the refusal.
	Status int
	// Refusal is nil if the response is an upstream's.
	Refusal *Refusal
	// Attempts counts the attempts that were sent, FencingToken is that of the
	// grant used last, and Err is why the last attempt failed.
	Attempts     int
	FencingToken int64
	Err          error
	// Fingerprint identifies requests with the same content. It is empty unless
	// it was needed to track crashes.
	Fingerprint crashes.Fingerprint
	// Version is that of the desired state, ViewAge the age of the view.
	Version int64
	ViewAge time.Duration
	// Took is the time from the request's arrival to its end.
	Took time.Duration
	// UpstreamTime is the duration of the last attempt, ConnectTime the part of it
	// spent opening a connection, and QueueTime the total wait for admission.
	UpstreamTime, ConnectTime, QueueTime time.Duration
	// TimeLeft is the time that was left until the request's deadline.
	TimeLeft time.Duration
	// LimiterState is the state of the upstream's limiter if it did not admit the
	// request.
	LimiterState admission.State
	// Via is the address of the last helper to which the request was passed on, ForwardedBy the
	// host that passed it on to this one.
	Via, ForwardedBy string
	// Scheduling is nil unless the service is competing.
	Scheduling *SchedulingSummary
}

// New returns a dispatcher for a host in localDataCentre.
func New(h protocol.Headers, localDataCentre string, views *view.Publisher, client *upstream.Client, picker *balance.Picker, retryBudget *budget.Budget,
	crashTracker *crashes.Tracker, feedbackTracker *feedback.Tracker, rateLimiter *ratelimit.Limiter) *Dispatcher {
	d := &Dispatcher{headers: h, localDataCentre: localDataCentre, views: views, client: client, picker: picker, estimator: picker, schedulers: newSchedulers(), retryBudget: retryBudget,
		crashes: crashTracker, feedback: feedbackTracker, rateLimiter: rateLimiter,
		splitter: &splitter{}, rejectedGrants: newRejectedGrants(), shutdown: newShutdown(), returns: retryafter.New(),
		detours: detours{pausedUntil: map[string]time.Time{}}, Paths: reachability.NewPaths(localDataCentre), Reachability: reachability.NewTracker(), ExpectedWork: func(desired.Class) (time.Duration, bool) { return 0, false },
		OnRequestDone: func(*RequestSummary) {}, OnBrokenSend: func(*BrokenSend) {}, OnLostConnections: func(*catalogue.Upstream) {}}
	d.Paths.Probe, d.Paths.OnChange = d.ProbeUpstream, d.OnPathChange
	d.Paths.Upstreams = func() *catalogue.Snapshot { return views.Load().Upstreams }
	d.SetHostCount(1, false)
	return d
}

// ServeHTTP implements http.Handler.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.serve(w, r, nil) }

// serve handles a request; from is nil unless another host passes it on.
func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request, from *forwarding) {
	arrived := time.Now()
	summary := &RequestSummary{ID: r.Header.Get(d.headers.RequestID), Key: -1}
	req, refusal := d.parseRequest(r, arrived)
	if req != nil && from != nil {
		req.forwarded, req.earlierAttempts, summary.ForwardedBy = true, from.attempts, from.by
	}
	var res *upstream.Result
	if refusal == nil {
		if !d.needsDetour(req) { // otherwise the helper counts the request
			d.retryBudget.RecordRequest(req.service.Name, arrived)
		}
		ctx, cancel := d.shutdown.requestContext(r.Context(), req.deadline)
		res, refusal = d.forward(ctx, req, summary)
		cancel()
		if summary.Via == "" {
			d.scheduleReturn(req, summary, refusal, time.Now())
		}
	}
	if req != nil {
		defer req.releaseResults()
		summary.setRequest(req)
		d.finishBody(req, w.Header())
	}
	v := d.views.Load()
	summary.ViewAge = time.Since(v.UpdatedAt)
	if v.Desired != nil {
		summary.Version = v.Desired.Version
	}
	summary.Refusal, summary.Took = refusal, time.Since(arrived)
	if refusal != nil {
		summary.Status = refusal.Status
		if from != nil {
			w.Header().Set(refusalHeader, string(refusal.Cause))
		}
		refusal.write(w, d.headers.RequestID, summary.ID)
	} else {
		summary.Status = res.Status
		d.writeResponse(w, res)
	}
	d.OnRequestDone(summary)
}

// setRequest copies what is recorded on the request into the summary.
func (s *RequestSummary) setRequest(req *request) {
	s.Route, s.Service, s.Key = req.route.Name, req.service.Name, req.key
	s.Class = req.route.ClassFor(req.service.Name)
	s.Upstream = cmp.Or(s.Upstream, req.lastUpstream)
	s.Attempts, s.Err, s.FencingToken = req.attempts, req.lastErr, req.lastFencingToken
	s.setScheduling(req)
	s.TimeLeft, s.Fingerprint = time.Until(req.deadline), req.cachedFingerprint
}

// writeResponse writes an upstream's response to the caller.
func (d *Dispatcher) writeResponse(w http.ResponseWriter, res *upstream.Result) {
	h := w.Header()
	for name, values := range endToEndHeaders(res.Header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(res.Body)))
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}

// admissionLimitRange returns the range of this host's limit of concurrent requests to the
// upstream.
func (d *Dispatcher) admissionLimitRange(u *catalogue.Upstream, service *desired.Service) admission.LimitRange {
	return admission.HostLimitRange(u.Slots, service.MaxConns, int(d.hostCount.Load()))
}

// SetHostCount sets how many hosts share the upstreams, and whether that number
// is known or only assumed.
func (d *Dispatcher) SetHostCount(hosts int, known bool) {
	d.hostCount.Store(int64(hosts))
	d.hostCountKnown.Store(known)
	if !known {
		hosts = 0
	}
	d.rateLimiter.SetHostCount(hosts)
}

// maxQueueWait returns how long the request may wait for admission: what is left
// of queueWaitFraction of its latency objective.
func (req *request) maxQueueWait() time.Duration {
	left := time.Duration(queueWaitFraction*float64(req.route.LatencyObjective)) - time.Since(req.arrived)
	return min(max(left, 0), time.Until(req.refuseBy()))
}

// refuseBy returns when a request that has not been sent is refused: a little before its
// deadline. Its caller, who would otherwise time out, then learns that the request did not
// run. Of the time of callers that allow little, a tenth is enough, as they are near.
func (req *request) refuseBy() time.Time {
	return req.deadline.Add(-min(callerTransit, req.deadline.Sub(req.arrived)/10))
}

// queueWaitFraction is the fraction of the latency objective that a request may
// spend waiting for admission. The rest is for the upstream's work.
const queueWaitFraction = 0.5

// notAdmittedRefusal returns the refusal of a request that the upstream's limiter
// did not admit.
func (d *Dispatcher) notAdmittedRefusal(ctx context.Context, req *request) *Refusal {
	if ctx.Err() != nil {
		return d.contextDoneRefusal(ctx, req)
	}
	return req.refusal(CauseOverloaded, req.retryAfterOverloaded())
}

// retryAfterOverloaded returns the Retry-After delay for overloaded and unreachable
// upstreams, unless scheduleReturn replaces it. It is also the minimum for unavailable upstreams and suspect requests.
// It leaves time to serve the retry within the latency objective; a delay close to
// the objective makes every retry late.
func (req *request) retryAfterOverloaded() time.Duration { return req.route.LatencyObjective / 4 }

// hasAttemptsLeft reports whether the route allows one more attempt and the body is
// buffered; a streamed one is sent once. Whether a retry is safe is not checked here.
func (req *request) hasAttemptsLeft() bool {
	return req.outbound.Stream == nil && req.earlierAttempts+req.attempts < req.route.MaxAttempts
}

// mayRetryAfterRun reports whether a request that may have run can be retried: its
// route is idempotent and there is enough time left for another attempt. This holds
// for keyed requests too, although the retry goes to the same owner.
func (d *Dispatcher) mayRetryAfterRun(req *request) bool {
	if !req.route.Idempotent {
		return false
	}
	return time.Until(d.shutdown.clampDeadline(req.deadline)) > req.route.LatencyObjective/4
}

// noRetryRefusal returns the refusal of a request whose last attempt failed and that
// is not retried.
func (req *request) noRetryRefusal() *Refusal {
	if req.attempts == 0 && req.upstreamsFull() {
		return req.bodyRefusal()
	}
	if req.attempts == 0 {
		return req.refusal(CauseUnreachable, req.retryAfterOverloaded())
	}
	return req.refusal(CauseOverloaded, req.retryAfterOverloaded())
}

// refusal returns a refusal with the given cause, or one with an unknown outcome if
// an attempt may have run.
func (req *request) refusal(cause Cause, retryAfter time.Duration) *Refusal {
	if req.mayHaveRun {
		return refusalWithStatus(CauseBrokenSend, http.StatusBadGateway)
	}
	return notRunRefusal(cause, withJitter(retryAfter))
}

// rejectionRefusal returns the refusal of a request that the upstream rejected
// without running it.
func (req *request) rejectionRefusal(res *upstream.Result) *Refusal {
	if res.Report.Backoff > 0 && req.key >= 0 {
		return req.unavailableRefusal(res.Report.Backoff, CauseBackoff)
	}
	if res.Misdirected() {
		return req.refusal(CauseMoved, retryAfterMoved)
	}
	return req.refusal(CauseOverloaded, req.retryAfterOverloaded())
}

// withJitter varies d by up to half of retryAfterJitter in either direction.
func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retryAfterJitter/2 + retryAfterJitter*rand.Float64()))
}

// contextDoneRefusal returns the refusal of a request whose context has ended: its
// deadline passed, its caller disconnected or this host is stopping.
func (d *Dispatcher) contextDoneRefusal(ctx context.Context, req *request) *Refusal {
	notRunCause, mayHaveRunCause := CauseTimeoutUnsent, CauseTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		if !d.shutdown.stopped() {
			return refusalWithStatus(req.callerGoneCause(), http.StatusBadGateway)
		}
		notRunCause, mayHaveRunCause = CauseStopping, CauseStopping
	}
	if req.attempts == 0 || !req.mayHaveRun {
		return notRunRefusal(notRunCause, withJitter(retryAfterTimeout))
	}
	return refusalWithStatus(mayHaveRunCause, http.StatusGatewayTimeout)
}

// Prune drops expired state, and records the broken sends that have turned out to
// be crashes.
func (d *Dispatcher) Prune() {
	now := time.Now()
	d.rejectedGrants.prune(now)
	d.rateLimiter.Prune(func(id string) bool { return d.feedback.RateLimit(id) > 0 })
	for _, crash := range d.unresolvedBrokenSends.resolve(d.views.Load().Upstreams, now) {
		d.crashes.RecordCrash(crash)
	}
}
