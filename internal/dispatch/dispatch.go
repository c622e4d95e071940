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
	retryNoDesired = 300 * time.Millisecond
	// retryLate is told to callers whose time ran out before their request
	// could be sent.
	retryLate = 300 * time.Millisecond
	// retryMoved: about the time a key takes to change hands.
	retryMoved = 250 * time.Millisecond
	// retryNoOwner: the keys of a lost upstream get an owner when its lease
	// has run out, and a cut lasts seconds; who returned after half a second
	// was mostly refused again. Callers cut it to a third of their time.
	retryNoOwner = 1500 * time.Millisecond
	spread       = 0.5
)

// maxUnsent bounds the sends of one request that did not leave this host.
const maxUnsent = 3

// moveWait is the longest a request waits for its key to change hands, as a
// part of the latency objective: later the caller is better served by
// coming back.
const moveWait = 0.5

// Dispatcher serves callers. It implements http.Handler.
type Dispatcher struct {
	headers protocol.Headers
	home    string
	views   *view.Holder
	client  *upstream.Client
	board   *balance.Board
	budget  *budget.Budget
	splits  *splitter
	unheld  *unheld
	stop    *stopper
	crashes *crashes.Ledger
	unsure  unsure
	// feedback is what upstreams report of themselves, limits keeps to the rate
	// limits among it.
	feedback *feedback.Tracker
	limits   *ratelimit.Limiter
	// fleet is how many hosts there are, this one included, and fleetKnown
	// whether that rests on anybody's word.
	fleet      atomic.Int64
	fleetKnown atomic.Bool
	// SlowStart is the sheet's bound on what a cold upstream may get.
	SlowStart ratelimit.Bounds
	// Ended is told of every request's end, BrokeOff of every send that ended
	// without an answer while its caller still waited.
	Ended    func(*End)
	BrokeOff func(*Broken)
}

// End describes how a request ended, for logs, metrics and load reports.
type End struct {
	ID, Route, Service, Upstream string
	// Key is -1 for services that are not keyed.
	Key int
	// Status is what the caller got; 0 if it left first.
	Status int
	// Refusal is nil if the answer is an upstream's.
	Refusal *Refusal
	// Sends is how often the request was sent, Fence the token of the
	// ownership it was sent under last, Err why the last send failed.
	Sends int
	Fence int64
	Err   error
	// Content tells which requests asked the same; empty unless servers' ends
	// made it matter.
	Content crashes.Content
	// Version is the desired state's, ViewAge the age of the view used.
	Version int64
	ViewAge time.Duration
	Took    time.Duration
	// AtUpstream is how long the last send took, Connect how long of that was
	// spent on a new connection, and Waited how long all waits for a turn
	// took.
	AtUpstream, Connect, Waited time.Duration
	Left                        time.Duration
	// Crowd is the state of the upstream's limiter, if the request was
	// refused for it.
	Crowd admission.State
}

// New returns a dispatcher for callers in the data centre home. Requests that
// ledger refuses are not sent.
func New(h protocol.Headers, home string, views *view.Holder, client *upstream.Client, board *balance.Board, bud *budget.Budget,
	ledger *crashes.Ledger, reports *feedback.Tracker, limits *ratelimit.Limiter) *Dispatcher {
	d := &Dispatcher{headers: h, home: home, views: views, client: client, board: board, budget: bud, crashes: ledger, feedback: reports, limits: limits,
		splits: newSplitter(), unheld: newUnheld(), stop: newStopper(),
		Ended: func(*End) {}, BrokeOff: func(*Broken) {}}
	d.SetFleet(1, false)
	return d
}

// ServeHTTP implements http.Handler.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	end := &End{ID: r.Header.Get(d.headers.RequestID), Key: -1}
	q, ref := d.read(r, arrived)
	var res *upstream.Result
	if ref == nil {
		d.budget.Request(q.service.Name, arrived)
		ctx, cancel := d.stop.context(r.Context(), q.deadline)
		res, ref = d.forward(ctx, q, end)
		cancel()
		end.describe(q)
	}
	v := d.views.Load()
	end.ViewAge = time.Since(v.At)
	if v.Desired != nil {
		end.Version = v.Desired.Version
	}
	end.Refusal, end.Took = ref, time.Since(arrived)
	if ref != nil {
		end.Status = ref.Status
		ref.write(w, d.headers.RequestID, end.ID)
	} else {
		end.Status = res.Status
		d.answer(w, res)
	}
	d.Ended(end)
}

func (e *End) describe(q *request) {
	e.Route, e.Service, e.Key = q.route.Name, q.service.Name, q.key
	e.Upstream = cmp.Or(e.Upstream, q.lastUp)
	e.Sends, e.Err, e.Fence = q.sends, q.lastErr, q.lastSeen
	e.Left, e.Content = time.Until(q.deadline), q.known
}

// answer passes an upstream's answer on.
func (d *Dispatcher) answer(w http.ResponseWriter, res *upstream.Result) {
	h := w.Header()
	for name, values := range endToEnd(res.Header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(res.Body)))
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}

// share is this host's share of an upstream.
func (d *Dispatcher) share(u *catalogue.Upstream, s *desired.Service) admission.Share {
	return admission.ShareOf(u.Slots, s.MaxConns, int(d.fleet.Load()))
}

// SetFleet tells how many hosts share the upstreams, and whether that is known.
func (d *Dispatcher) SetFleet(hosts int, known bool) {
	d.fleet.Store(int64(hosts))
	d.fleetKnown.Store(known)
	if !known {
		hosts = 0
	}
	d.limits.SetHosts(hosts)
}

// patience is how long the request may wait for its turn: what is left of
// its latency objective less the time the upstream needs.
func (q *request) patience() time.Duration {
	budget := time.Duration(waitShare*float64(q.route.Objective)) - time.Since(q.arrived)
	return min(max(budget, 0), time.Until(q.deadline))
}

// waitShare is the part of the latency objective that a request may spend
// waiting for its turn; the rest is for the work itself.
const waitShare = 0.5

// crowdedOut ends a request that would have waited too long.
func (d *Dispatcher) crowdedOut(ctx context.Context, q *request) *Refusal {
	if ctx.Err() != nil {
		return d.outOfTime(ctx, q)
	}
	return q.endUnsent(CauseFull, q.soon())
}

// soon is when to come back to a full upstream: early enough to be served
// within the objective still. After 0.3 s a caller with an objective of 0.4 s
// was late whatever the upstream did.
func (q *request) soon() time.Duration { return q.route.Objective / 4 }

// mayRepeat reports whether the route allows one more send.
func (q *request) mayRepeat() bool {
	return q.up.Stream == nil && q.sends < q.route.MaxAttempts
}

// another reports whether a failed idempotent request has somewhere else to
// go. A key has one owner only, so a keyed one goes to the same again.
func (d *Dispatcher) another(q *request) bool {
	if !q.route.Idempotent {
		return false
	}
	return time.Until(d.stop.last(q.deadline)) > q.route.Objective/4
}

// giveUp ends a request that cannot be sent again.
func (q *request) giveUp() *Refusal {
	if q.sends == 0 {
		return q.endUnsent(CauseUnreachable, q.soon())
	}
	return q.endUnsent(CauseFull, q.soon())
}

// endUnsent ends a request that has nowhere to be sent.
func (q *request) endUnsent(c Cause, retryAfter time.Duration) *Refusal {
	if q.mayHaveRun {
		return failed(CauseBroken, http.StatusBadGateway)
	}
	return notRun(c, spreadOut(retryAfter))
}

func (q *request) refused(res *upstream.Result) *Refusal {
	if res.Report.Rest > 0 && q.key >= 0 {
		return q.closedRefusal(res.Report.Rest, CauseResting)
	}
	if res.Misdirected() {
		return q.endUnsent(CauseMoved, retryMoved)
	}
	return q.endUnsent(CauseFull, q.soon())
}

func spreadOut(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - spread/2 + spread*rand.Float64()))
}

// outOfTime ends a request whose context is over.
func (d *Dispatcher) outOfTime(ctx context.Context, q *request) *Refusal {
	never, sent := CauseTimeoutNever, CauseTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		if !d.stop.over() {
			return failed(CauseGone, http.StatusBadGateway)
		}
		never, sent = CauseStopping, CauseStopping
	}
	if q.sends == 0 || !q.mayHaveRun {
		return notRun(never, spreadOut(retryLate))
	}
	return failed(sent, http.StatusGatewayTimeout)
}

// Prune forgets what no longer matters, and takes in which upstreams have ended.
func (d *Dispatcher) Prune() {
	now := time.Now()
	d.unheld.prune(now)
	d.limits.Prune(func(id string) bool { return d.feedback.Limit(id) > 0 })
	for _, e := range d.unsure.settle(d.views.Load().Upstreams, now) {
		d.crashes.Saw(e)
	}
}
