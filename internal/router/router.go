package router

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/burn"
	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/refusal"
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/internal/target"
)

// Steps named in refusals.
const (
	StepParse    = "parse"
	StepView     = "view"
	StepForward  = "forward"
	StepResponse = "answer"
)

// HeaderTimeout lets a caller shorten its deadline, in milliseconds.
const HeaderTimeout = "X-Papayatide-Timeout-Ms"

// MaxBodyBytes bounds a caller's request body.
const MaxBodyBytes = 1 << 20

// Options shape the router.
type Options struct {
	// Host names this entry host in request ids.
	Host string
	// Timeout is the default and largest deadline given to a request.
	Timeout time.Duration
	// MaxViewAge is how old the routing view may be for non-idempotent
	// work; past it such work is refused as not run.
	MaxViewAge time.Duration
	// RetryAfter is told to callers refused for a passing cause.
	RetryAfter time.Duration
	// LatencyObjective is the latency past which a request counts as
	// slow in the burn report.
	LatencyObjective time.Duration
}

// Router serves callers.
type Router struct {
	opts    Options
	table   func() *routing.Table
	targets *target.Client
	log     *zap.Logger
	// OnFenced is told about each fencing refusal so the control loop can
	// catch up; it must not block.
	OnFenced func(upstream string)
	// Burns counts requests for the service-level burn report.
	Burns *burn.Recorder
	// crashes are the targets that ended under requests, as this host saw.
	crashes *crashes.Tracker
	// reports are what targets report of themselves in their answers.
	reports *feedback.Tracker
	started time.Time
}

// New returns a router reading tables from table.
func New(opts Options, table func() *routing.Table, targets *target.Client, log *zap.Logger) *Router {
	rt := &Router{started: time.Now(), opts: opts, table: table, targets: targets, log: log, OnFenced: func(string) {},
		reports: feedback.NewTracker(), Burns: burn.NewRecorder(opts.LatencyObjective)}
	rt.reports.OnChange = rt.onReportChange
	rt.crashes = crashes.NewTracker(rt.logRefusedFingerprint)
	rt.crashes.AllowTrialsIf(func() bool { return true }) // no other host shares what it sees
	return rt
}

// Crashes returns the targets' ends that this host has seen.
func (rt *Router) Crashes() *crashes.Tracker { return rt.crashes }

// unknownLabel stands for every service name not in the manifest in
// metrics and burn counts.
const unknownLabel = "_unknown"

// ServeHTTP implements http.Handler for paths /{service}/{key...}.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	service := r.PathValue("service")
	resp, ref := rt.serve(r, service, r.PathValue("key"), start)
	code := "OK"
	if ref != nil {
		code = string(ref.Code)
		ref.Write(w)
	} else {
		writeResponse(w, resp)
	}
	// Callers choose the path, so a name not in the manifest must not
	// become a label: random names would grow the metrics and burn rings
	// without bound until the host ran out of memory.
	if t := rt.table(); t == nil || t.Services[service] == nil {
		service = unknownLabel
	}
	rt.Burns.Record(service, ref != nil && ref.Code != refusal.BadRequest && ref.Code != refusal.UnknownService, time.Since(start), time.Now())
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayatide_requests_total{service=%q,code=%q}`, service, code)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`papayatide_request_duration_seconds{service=%q}`, service)).UpdateDuration(start)
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

func (rt *Router) serve(r *http.Request, service, key string, now time.Time) (*target.Response, *refusal.Refusal) {
	req, ref := rt.parseRequest(r, service, key, now)
	if ref != nil {
		return nil, ref
	}
	t := rt.table()
	if t == nil {
		return nil, refusal.New(refusal.NotReady, StepView, "", refusal.NotRun, rt.opts.RetryAfter, "no manifest in force yet")
	}
	if !idempotent(req.Method) && now.Sub(t.ViewAt) > rt.opts.MaxViewAge {
		return nil, refusal.New(refusal.StaleView, StepView, "", refusal.NotRun, rt.opts.RetryAfter,
			"placement view too old for non-idempotent work")
	}
	route, ref := t.Lookup(service, key, now)
	if ref != nil {
		return nil, ref
	}
	req.Shard, req.FencingToken = route.Shard, route.FencingToken
	if rest := rt.reports.Backoff(route.Upstream.Name, now); rest > 0 {
		return nil, refusal.New(refusal.Shed, StepForward, route.Upstream.Name, refusal.NotRun, rest, "the target asked for a rest")
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
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBodyBytes))
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, StepParse, "", refusal.NotRun, 0, "body unreadable or over 1 MiB")
	}
	req.Body = body
	return req, nil
}

// forwardRefusal turns a forwarding error into the truthful refusal: work
// that never left is not run; work sent without an answer is unknown.
func (rt *Router) forwardRefusal(err error, req *target.Request, route routing.Route) *refusal.Refusal {
	peer := route.Upstream.Name
	rt.log.Info("forward failed", zap.Int("event", events.ForwardFailed), zap.String("peer", peer), zap.Error(err))
	if errors.Is(err, target.ErrNotSent) {
		return refusal.New(refusal.OwnerUnreachable, StepForward, peer, refusal.NotRun, rt.opts.RetryAfter, err.Error())
	}
	if idempotent(req.Method) {
		return refusal.New(refusal.OwnerUnreachable, StepForward, peer, refusal.Unknown, rt.opts.RetryAfter, err.Error())
	}
	return refusal.New(refusal.OutcomeUnknown, StepForward, peer, refusal.Unknown, rt.opts.RetryAfter, err.Error())
}

// checkResponse vets a target's answer: refusals the target marked as not run are
// passed on as such, and an answer echoing another request's id is never
// given to this caller.
func (rt *Router) checkResponse(resp *target.Response, req *target.Request, route routing.Route) (*target.Response, *refusal.Refusal) {
	peer := route.Upstream.Name
	if resp.Header.Get(target.HeaderNotRun) == "1" {
		switch resp.Status {
		case http.StatusConflict:
			rt.OnFenced(peer)
			return nil, refusal.New(refusal.Fenced, StepForward, peer, refusal.NotRun, rt.opts.RetryAfter, string(resp.Body))
		default:
			back := max(rt.opts.RetryAfter, rt.reports.Backoff(peer, time.Now()))
			return nil, refusal.New(refusal.Shed, StepForward, peer, refusal.NotRun, back, string(resp.Body))
		}
	}
	if resp.Status < 300 && resp.Header.Get(target.HeaderRequestID) != req.RequestID {
		rt.log.Warn("crossed answer", zap.Int("event", events.MismatchedResponse), zap.String("peer", peer),
			zap.String("want", req.RequestID), zap.String("got", resp.Header.Get(target.HeaderRequestID)))
		return nil, refusal.New(refusal.MismatchedResponse, StepResponse, peer, refusal.Unknown, rt.opts.RetryAfter, "answer belongs to another request")
	}
	return resp, nil
}
