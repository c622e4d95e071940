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
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
)

// Times told to callers that are refused. They are spread by spread so that
// callers refused together do not come back together.
const (
	// retryNoDesired: the first desired state is read within a few
	// milliseconds of reaching the log service.
	retryAfterNoDesired = 300 * time.Millisecond
	// retryAfterTimeout is told to callers whose time ran out before their request
	// could be sent.
	retryAfterTimeout = 300 * time.Millisecond
	// retryMoved: about the time a key takes to change hands.
	retryAfterMoved = 250 * time.Millisecond
	// retryNoOwner: the keys of a lost upstream get an owner when its lease
	// has run out, and a cut lasts seconds; who returned after half a second
	// was mostly refused again. Callers cut it to a third of their time.
	retryAfterNoOwner = 1500 * time.Millisecond
	retryAfterJitter  = 0.5
)

// maxUnsent bounds the sends of one request that did not leave this host.
const maxUnsentAttempts = 3

// moveWait is the longest a request waits for its key to change hands, as a
// part of the latency objective: later the caller is better served by
// coming back.
const ownerWaitShare = 0.5

// Dispatcher serves callers. It implements http.Handler.
type Dispatcher struct {
	headers         protocol.Headers
	localDataCentre string
	views           *view.Publisher
	client          *upstream.Client
	picker          *balance.Picker
	retryBudget     *budget.Budget
	splitter        *splitter
	rejectedGrants  *rejectedGrants
	shutdown        *shutdown
	crashes         *crashes.Tracker
	unresolvedSends unresolvedSendList
	// feedback is what upstreams report of themselves, limits keeps to the rate
	// limits among it.
	feedback    *feedback.Tracker
	rateLimiter *ratelimit.Limiter
	// hostCount is how many hosts there are, this one included, and fleetKnown
	// whether that rests on anybody's word.
	hostCount      atomic.Int64
	hostCountKnown atomic.Bool
	// SlowStartBounds is the sheet's bound on what a cold upstream may get.
	SlowStartBounds ratelimit.Bounds
	// OnRequestDone is told of every request's end, BrokeOff of every send that ended
	// without an answer while its caller still waited.
	OnRequestDone func(*RequestSummary)
	OnBrokenSend  func(*BrokenSend)
}

// RequestSummary describes how a request ended, for logs, metrics and load reports.
type RequestSummary struct {
	ID, Route, Service, Upstream string
	// Key is -1 for services that are not keyed.
	Key int
	// Status is what the caller got; 0 if it left first.
	Status int
	// Refusal is nil if the answer is an upstream's.
	Refusal *Refusal
	// Attempts is how often the request was sent, Fence the token of the
	// ownership it was sent under last, Err why the last send failed.
	Attempts     int
	FencingToken int64
	Err          error
	// Fingerprint tells which requests asked the same; empty unless servers' ends
	// made it matter.
	Fingerprint crashes.Fingerprint
	// Version is the desired state's, ViewAge the age of the view used.
	Version int64
	ViewAge time.Duration
	Took    time.Duration
	// UpstreamTime is how long the last send took, Connect how long of that was
	// spent on a new connection, and Waited how long all waits for a turn
	// took.
	UpstreamTime, ConnectTime, QueueTime time.Duration
	TimeLeft                             time.Duration
	// LimiterState is the state of the upstream's limiter, if the request was
	// refused for it.
	LimiterState admission.State
}

// New returns a dispatcher for callers in the data centre home. Requests that
// ledger refuses are not sent.
func New(h protocol.Headers, home string, views *view.Publisher, client *upstream.Client, board *balance.Picker, bud *budget.Budget,
	ledger *crashes.Tracker, reports *feedback.Tracker, limits *ratelimit.Limiter) *Dispatcher {
	d := &Dispatcher{headers: h, localDataCentre: home, views: views, client: client, picker: board, retryBudget: bud, crashes: ledger, feedback: reports, rateLimiter: limits,
		splitter: newSplitter(), rejectedGrants: newRejectedGrants(), shutdown: newShutdown(),
		OnRequestDone: func(*RequestSummary) {}, OnBrokenSend: func(*BrokenSend) {}}
	d.SetHostCount(1, false)
	return d
}

// ServeHTTP implements http.Handler.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	end := &RequestSummary{ID: r.Header.Get(d.headers.RequestID), Key: -1}
	q, ref := d.parseRequest(r, arrived)
	var res *upstream.Result
	if ref == nil {
		d.retryBudget.RecordRequest(q.service.Name, arrived)
		ctx, cancel := d.shutdown.requestContext(r.Context(), q.deadline)
		res, ref = d.forward(ctx, q, end)
		cancel()
		end.setRequest(q)
	}
	v := d.views.Load()
	end.ViewAge = time.Since(v.UpdatedAt)
	if v.Desired != nil {
		end.Version = v.Desired.Version
	}
	end.Refusal, end.Took = ref, time.Since(arrived)
	if ref != nil {
		end.Status = ref.Status
		ref.write(w, d.headers.RequestID, end.ID)
	} else {
		end.Status = res.Status
		d.writeResponse(w, res)
	}
	d.OnRequestDone(end)
}

func (e *RequestSummary) setRequest(q *request) {
	e.Route, e.Service, e.Key = q.route.Name, q.service.Name, q.key
	e.Upstream = cmp.Or(e.Upstream, q.lastUpstream)
	e.Attempts, e.Err, e.FencingToken = q.attempts, q.lastErr, q.lastFencingToken
	e.TimeLeft, e.Fingerprint = time.Until(q.deadline), q.cachedFingerprint
}

// writeResponse passes an upstream's answer on.
func (d *Dispatcher) writeResponse(w http.ResponseWriter, res *upstream.Result) {
	h := w.Header()
	for name, values := range endToEndHeaders(res.Header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(res.Body)))
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}

// admissionShare is this host's share of an upstream.
func (d *Dispatcher) admissionShare(u *catalogue.Upstream, s *desired.Service) admission.Share {
	return admission.ShareOf(u.Slots, s.MaxConns, int(d.hostCount.Load()))
}

// SetHostCount tells how many hosts share the upstreams, and whether that is known.
func (d *Dispatcher) SetHostCount(hosts int, known bool) {
	d.hostCount.Store(int64(hosts))
	d.hostCountKnown.Store(known)
	if !known {
		hosts = 0
	}
	d.rateLimiter.SetHostCount(hosts)
}

// maxQueueWait is how long the request may wait for its turn: what is left of
// its latency objective less the time the upstream needs.
func (q *request) maxQueueWait() time.Duration {
	budget := time.Duration(queueWaitShare*float64(q.route.LatencyObjective)) - time.Since(q.arrived)
	return min(max(budget, 0), time.Until(q.deadline))
}

// waitShare is the part of the latency objective that a request may spend
// waiting for its turn; the rest is for the work itself.
const queueWaitShare = 0.5

// notAdmittedRefusal ends a request that would have waited too long.
func (d *Dispatcher) notAdmittedRefusal(ctx context.Context, q *request) *Refusal {
	if ctx.Err() != nil {
		return d.contextDoneRefusal(ctx, q)
	}
	return q.refusal(CauseFull, q.retryAfterFull())
}

// retryAfterFull is when to come back to a full upstream: early enough to be served
// within the objective still. After 0.3 s a caller with an objective of 0.4 s
// was late whatever the upstream did.
func (q *request) retryAfterFull() time.Duration { return q.route.LatencyObjective / 4 }

// mayRetry reports whether the route allows one more send.
func (q *request) mayRetry() bool {
	return q.outbound.Stream == nil && q.attempts < q.route.MaxAttempts
}

// worthRetrying reports whether a failed idempotent request has somewhere else to
// go. A key has one owner only, so a keyed one goes to the same again.
func (d *Dispatcher) worthRetrying(q *request) bool {
	if !q.route.Idempotent {
		return false
	}
	return time.Until(d.shutdown.clampDeadline(q.deadline)) > q.route.LatencyObjective/4
}

// noRetryRefusal ends a request that cannot be sent again.
func (q *request) noRetryRefusal() *Refusal {
	if q.attempts == 0 {
		return q.refusal(CauseUnreachable, q.retryAfterFull())
	}
	return q.refusal(CauseFull, q.retryAfterFull())
}

// refusal ends a request that has nowhere to be sent.
func (q *request) refusal(c Cause, retryAfter time.Duration) *Refusal {
	if q.mayHaveRun {
		return refusalWithStatus(CauseBrokenSend, http.StatusBadGateway)
	}
	return notRunRefusal(c, withJitter(retryAfter))
}

func (q *request) rejectionRefusal(res *upstream.Result) *Refusal {
	if res.Report.Backoff > 0 && q.key >= 0 {
		return q.unavailableRefusal(res.Report.Backoff, CauseBackoff)
	}
	if res.Misdirected() {
		return q.refusal(CauseMoved, retryAfterMoved)
	}
	return q.refusal(CauseFull, q.retryAfterFull())
}

func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retryAfterJitter/2 + retryAfterJitter*rand.Float64()))
}

// contextDoneRefusal ends a request whose context is over.
func (d *Dispatcher) contextDoneRefusal(ctx context.Context, q *request) *Refusal {
	never, sent := CauseTimeoutUnsent, CauseTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		if !d.shutdown.stopped() {
			return refusalWithStatus(CauseCallerGone, http.StatusBadGateway)
		}
		never, sent = CauseStopping, CauseStopping
	}
	if q.attempts == 0 || !q.mayHaveRun {
		return notRunRefusal(never, withJitter(retryAfterTimeout))
	}
	return refusalWithStatus(sent, http.StatusGatewayTimeout)
}

// Prune forgets what no longer matters, and takes in which upstreams have ended.
func (d *Dispatcher) Prune() {
	now := time.Now()
	d.rejectedGrants.prune(now)
	d.rateLimiter.Prune(func(id string) bool { return d.feedback.RateLimit(id) > 0 })
	for _, e := range d.unresolvedSends.resolve(d.views.Load().Upstreams, now) {
		d.crashes.RecordCrash(e)
	}
}
