package router

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/bodybudget"
	"github.com/papayatide/papayatide/internal/burn"
	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/ingress"
	"github.com/papayatide/papayatide/internal/refusal"
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/internal/target"
)

// Steps at which a request is refused, named in the refusal.
const (
	StepParse    = "parse"
	StepView     = "view"
	StepForward  = "forward"
	StepResponse = "answer"
)

// HeaderTimeout is the request header with which a caller shortens its deadline,
// in milliseconds.
const HeaderTimeout = "X-Papayatide-Timeout-Ms"

// MaxBodyBytes limits a caller's request body.
const MaxBodyBytes = 1 << 20

// Options configure the router.
type Options struct {
	// Host is this entry host's name, the prefix of request IDs.
	Host string
	// Timeout is the default and the longest time allowed for a request.
	Timeout time.Duration
	// MaxViewAge is the highest age of the routing table at which non-idempotent
	// work is forwarded; above it, such work is refused as not run.
	MaxViewAge time.Duration
	// RetryAfter is the retry delay in refusals with a temporary cause.
	RetryAfter time.Duration
	// LatencyObjective is the latency above which a request counts as slow in the
	// error-budget burn report.
	LatencyObjective time.Duration
	// MemoryMB is the host's memory, an eighth of which bodies of requests may use, and another bodies of
	// responses; 0 for no bound.
	MemoryMB int
}

// Router forwards callers' requests to the owners of their keys.
type Router struct {
	opts    Options
	table   func() *routing.Table
	targets *target.Client
	log     *zap.Logger
	// OnFenced is called when a target rejects a fencing token, so that the
	// control loop reads the log; it must not block.
	OnFenced func(upstream string)
	// RequestCounts counts requests for the error-budget burn report.
	RequestCounts *burn.Recorder
	// crashes tracks the targets that crashed while they ran this host's requests.
	crashes *crashes.Tracker
	// reports tracks what targets report about themselves in response headers.
	reports *feedback.Tracker
	started time.Time
	// bodies and responses bound the memory of the bodies of requests and of responses.
	bodies, responses *bodybudget.Budget
}

// New returns a router that gets the current routing table by calling table.
func New(opts Options, table func() *routing.Table, targets *target.Client, log *zap.Logger) *Router {
	limit := int64(math.MaxInt64)
	if opts.MemoryMB > 0 {
		limit = bodybudget.HostLimit(opts.MemoryMB)
	}
	rt := &Router{started: time.Now(), bodies: bodybudget.New(limit), responses: bodybudget.New(limit), opts: opts, table: table, targets: targets, log: log, OnFenced: func(string) {},
		reports: feedback.NewTracker(), RequestCounts: burn.NewRecorder(opts.LatencyObjective)}
	rt.reports.OnChange = rt.onReportChange
	rt.crashes = crashes.NewTracker(rt.logRefusedFingerprint)
	rt.crashes.AllowTrialsIf(func() bool { return true }) // crashes are not shared, so no other host sends the trial request
	return rt
}

// Crashes returns the tracker of target crashes that this host observed.
func (rt *Router) Crashes() *crashes.Tracker { return rt.crashes }

// unknownLabel replaces service names that are not in the manifest in metrics
// and error-budget counts.
const unknownLabel = "_unknown"

// ServeHTTP implements http.Handler for paths /{service}/{key...}.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	service := r.PathValue("service")
	memory := memory{request: rt.bodies.Reserve(), response: rt.responses.Reserve()}
	defer memory.release()
	resp, refused := rt.serve(w, r, memory, start)
	code := "OK"
	if refused != nil {
		code = string(refused.Code)
		refused.Write(w)
	} else {
		writeResponse(w, resp)
	}
	// Callers choose the path, so a name that is not in the manifest must not become
	// a label: random names would grow the metrics and error-budget counts until the
	// host ran out of memory.
	if t := rt.table(); t == nil || t.Services[service] == nil {
		service = unknownLabel
	}
	rt.RequestCounts.Record(service, refused != nil && refused.Code != refusal.BadRequest && refused.Code != refusal.UnknownService, time.Since(start), time.Now())
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayatide_requests_total{service=%q,code=%q}`, service, code)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`papayatide_request_duration_seconds{service=%q}`, service)).UpdateDuration(start)
}

// memory is what a request holds of the budgets.
type memory struct{ request, response *bodybudget.Reservation }

func (m memory) release() {
	m.request.Release()
	m.response.Release()
}

func writeResponse(w http.ResponseWriter, resp *target.Response) {
	if ct := resp.Header.Get("Content-Type"); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}

func idempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// serve forwards a request to the owner of its key and returns the response, or a
// refusal.
func (rt *Router) serve(w http.ResponseWriter, r *http.Request, memory memory, now time.Time) (*target.Response, *refusal.Refusal) {
	service, key := r.PathValue("service"), r.PathValue("key")
	req, refused := rt.parseRequest(r, service, key, now)
	if refused != nil {
		return nil, refused
	}
	if refused := rt.readBody(w, r, req, memory.request); refused != nil {
		return nil, refused
	}
	req.ResponseMemory = memory.response
	t := rt.table()
	if t == nil {
		return nil, refusal.New(refusal.NotReady, StepView, "", refusal.NotRun, rt.opts.RetryAfter, "no manifest in force yet")
	}
	if !idempotent(req.Method) && now.Sub(t.ViewAt) > rt.opts.MaxViewAge {
		return nil, refusal.New(refusal.StaleView, StepView, "", refusal.NotRun, rt.opts.RetryAfter,
			"placement view too old for non-idempotent work")
	}
	route, refused := t.Lookup(service, key, now)
	if refused != nil {
		return nil, refused
	}
	req.Shard, req.FencingToken = route.Shard, route.FencingToken
	if backoff := rt.reports.Backoff(route.Upstream.Name, now); backoff > 0 {
		return nil, refusal.New(refusal.Shed, StepForward, route.Upstream.Name, refusal.NotRun, backoff, "the target asked for a rest")
	}
	if left := rt.refusedFor(req, now); left > 0 {
		return nil, refusal.New(refusal.CrashesTargets, StepForward, "", refusal.NotRun, left, "targets ended while they ran this request")
	}
	resp, err := rt.targets.Forward(r.Context(), route.Upstream, req)
	rt.recordOutcome(resp, err, req, route, time.Now())
	rt.recordReport(resp, err, route, now, time.Now())
	if err != nil {
		return nil, rt.forwardRefusal(err, req, route)
	}
	return rt.checkResponse(resp, req, route)
}

func (rt *Router) parseRequest(r *http.Request, service, key string, now time.Time) (*target.Request, *refusal.Refusal) {
	if service == "" || key == "" {
		return nil, refusal.New(refusal.BadRequest, StepParse, "", refusal.NotRun, 0, "path must be /{service}/{key}")
	}
	req := &target.Request{Method: r.Method, Service: service, Key: key,
		IdempotencyKey: r.Header.Get(target.HeaderIdempotencyKey),
		RequestID:      rt.opts.Host + "-" + strconv.FormatUint(rand.Uint64(), 36)}
	if !idempotent(r.Method) && req.IdempotencyKey == "" {
		return nil, refusal.New(refusal.BadRequest, StepParse, "", refusal.NotRun, 0,
			"a non-idempotent request needs an Idempotency-Key header")
	}
	timeout := rt.opts.Timeout
	if v := r.Header.Get(HeaderTimeout); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms <= 0 {
			return nil, refusal.New(refusal.BadRequest, StepParse, "", refusal.NotRun, 0, HeaderTimeout+" must be a positive integer")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	req.Deadline = now.Add(timeout)
	return req, nil
}

// readBody reads the request's body and takes room for it from memory. After a refusal the rest of the body
// is not read.
func (rt *Router) readBody(w http.ResponseWriter, r *http.Request, req *target.Request, memory *bodybudget.Reservation) *refusal.Refusal {
	body, err := ingress.ReadBody(w, r, req.Deadline, MaxBodyBytes, memory)
	if err == nil {
		req.Body = body
		return nil
	}
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, bodybudget.ErrNoRoom):
		return refusal.New(refusal.NoRoom, StepParse, "", refusal.NotRun, rt.opts.RetryAfter, "no memory left for the request's body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.New(refusal.BadRequest, StepParse, "", refusal.NotRun, 0, "body did not arrive in time")
	}
	return refusal.New(refusal.BadRequest, StepParse, "", refusal.NotRun, 0, "body unreadable or over 1 MiB")
}

// forwardRefusal returns the refusal for a forwarding error. The outcome is "not
// run" if the request was not sent, and unknown if it was sent without a response.
func (rt *Router) forwardRefusal(err error, req *target.Request, route routing.Route) *refusal.Refusal {
	upstream := route.Upstream.Name
	rt.log.Info("forward failed", zap.Int("event", events.ForwardFailed), zap.String("peer", upstream), zap.Error(err))
	if errors.Is(err, target.ErrNotSent) {
		return refusal.New(refusal.OwnerUnreachable, StepForward, upstream, refusal.NotRun, rt.opts.RetryAfter, err.Error())
	}
	if idempotent(req.Method) {
		return refusal.New(refusal.OwnerUnreachable, StepForward, upstream, refusal.Unknown, rt.opts.RetryAfter, err.Error())
	}
	return refusal.New(refusal.OutcomeUnknown, StepForward, upstream, refusal.Unknown, rt.opts.RetryAfter, err.Error())
}

// checkResponse returns a target's response, or a refusal if the target marked the
// request as not run. It also refuses if a response with a status below 300 does not
// carry this request's ID: it may belong to another request, and must not reach this
// caller.
func (rt *Router) checkResponse(resp *target.Response, req *target.Request, route routing.Route) (*target.Response, *refusal.Refusal) {
	upstream := route.Upstream.Name
	if resp.Header.Get(target.HeaderNotRun) == "1" {
		switch resp.Status {
		case http.StatusConflict:
			rt.OnFenced(upstream)
			return nil, refusal.New(refusal.Fenced, StepForward, upstream, refusal.NotRun, rt.opts.RetryAfter, string(resp.Body))
		default:
			backoff := max(rt.opts.RetryAfter, rt.reports.Backoff(upstream, time.Now()))
			return nil, refusal.New(refusal.Shed, StepForward, upstream, refusal.NotRun, backoff, string(resp.Body))
		}
	}
	if resp.Status < 300 && resp.Header.Get(target.HeaderRequestID) != req.RequestID {
		rt.log.Warn("response has a different request ID or none", zap.Int("event", events.MismatchedResponse), zap.String("peer", upstream),
			zap.String("want", req.RequestID), zap.String("got", resp.Header.Get(target.HeaderRequestID)))
		return nil, refusal.New(refusal.MismatchedResponse, StepResponse, upstream, refusal.Unknown, rt.opts.RetryAfter, "answer belongs to another request")
	}
	return resp, nil
}
