package entryhost

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/events"
)

// servedLogInterval is the number of served requests per log line. Requests
// that took more than one attempt or failed are all logged, refused ones up to
// maxRefusedLinesPerSecond.
const servedLogInterval = 50

var (
	servedCount     atomic.Int64
	totalLatency    = metrics.NewHistogram(`papayatide_request_duration_seconds{stage="total"}`)
	queueLatency    = metrics.NewHistogram(`papayatide_request_duration_seconds{stage="admission"}`)
	connectLatency  = metrics.NewHistogram(`papayatide_request_duration_seconds{stage="connect"}`)
	brokenSends     = metrics.NewCounter(`papayatide_sends_broken_total`)
	upstreamLatency = metrics.NewHistogram(`papayatide_request_duration_seconds{stage="upstream"}`)
)

// onRequestDone counts and logs a finished request.
func (h *host) onRequestDone(e *dispatch.RequestSummary) {
	if e.Via == "" { // otherwise the helper counts the request
		h.loadSampler.add(e)
		h.shares.countRequest(e)
	}
	totalLatency.Update(e.Took.Seconds())
	if e.QueueTime > 0 {
		queueLatency.Update(e.QueueTime.Seconds())
	}
	if e.ConnectTime > 0 {
		connectLatency.Update(e.ConnectTime.Seconds())
	}
	if e.UpstreamTime > 0 {
		upstreamLatency.Update(e.UpstreamTime.Seconds())
	}
	cause := "served"
	if e.Refusal != nil {
		cause = string(e.Refusal.Cause)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayatide_requests_total{cause=%q}`, cause)).Inc()
	if s := e.Scheduling; s != nil {
		metrics.GetOrCreateCounter(fmt.Sprintf(`papayatide_competing_requests_total{service=%q,priority="%d",returned="%t",cause=%q}`, e.Service, s.Priority, s.Lost > 0, cause)).Inc()
	}
	switch {
	case e.Refusal == nil && e.Status < 500:
		if e.Attempts > 1 || servedCount.Add(1)%servedLogInterval == 1 {
			h.zl.Info("request served", h.requestFields(e, events.RequestServed)...)
		}
	case e.Refusal == nil:
		h.zl.Info("request failed at upstream", h.requestFields(e, events.RequestFailed)...)
	default:
		if ok, leftOut := h.refusedLines.allow(time.Now()); ok {
			h.zl.Info("request refused", append(h.requestFields(e, events.RequestRefused), leftOutField(leftOut))...)
		}
	}
}

// leftOutField states how many lines of the same event were left out before this one.
func leftOutField(n int64) zap.Field {
	if n == 0 {
		return zap.Skip()
	}
	return zap.Int64("left_out", n)
}

// onBrokenSend counts and logs a send whose connection broke before a whole
// response arrived.
func (h *host) onBrokenSend(b *dispatch.BrokenSend) {
	brokenSends.Inc()
	fields := []zap.Field{zap.Int("event", events.BrokenSend), zap.String("request", b.ID), zap.String("service", b.Service),
		zap.String("peer", b.Upstream), zap.String("content", string(b.Fingerprint)), zap.Duration("at_upstream", b.UpstreamTime),
		zap.Bool("ended", b.Crashed), zap.Int("ends", b.Crashes), ErrorField(b.Err)}
	if b.Key >= 0 {
		fields = append(fields, zap.Int("key", b.Key), zap.Int64("fence", b.FencingToken))
	}
	h.zl.Info("connection to upstream broke before a whole response", fields...)
}

// onReachabilityChange logs that a data centre has become unreachable, or reachable again.
func (h *host) onReachabilityChange(dataCentre string, reachable bool, silentFor time.Duration) {
	if reachable {
		h.zl.Info("data centre is reachable again", zap.Int("event", events.DataCentreReachable), zap.String("data_centre", dataCentre), zap.Duration("silent_for", silentFor))
		return
	}
	h.zl.Warn("data centre is unreachable: none of its upstreams responds", zap.Int("event", events.DataCentreUnreachable), zap.String("data_centre", dataCentre),
		zap.Duration("silent_for", silentFor))
}

// requestFields returns the log fields of a finished request.
func (h *host) requestFields(e *dispatch.RequestSummary, event int) []zap.Field {
	fields := []zap.Field{zap.Int("event", event), zap.String("request", e.ID), zap.String("route", e.Route), zap.String("service", e.Service),
		zap.Int64("version", e.Version), zap.Duration("view_age", e.ViewAge), zap.Int("status", e.Status), zap.Int("sends", e.Attempts),
		zap.Duration("took", e.Took), zap.Duration("left", e.TimeLeft)}
	if e.Key >= 0 {
		fields = append(fields, zap.Int("key", e.Key), zap.Int64("fence", e.FencingToken))
	}
	if e.Upstream != "" {
		fields = append(fields, zap.String("peer", e.Upstream), zap.Duration("at_upstream", e.UpstreamTime))
	}
	if e.Via != "" {
		fields = append(fields, zap.String("via", e.Via))
	}
	if e.ForwardedBy != "" {
		fields = append(fields, zap.String("from", e.ForwardedBy))
	}
	if e.LimiterState.Limit > 0 {
		fields = append(fields, zap.Float64("limit", e.LimiterState.Limit), zap.Int("under_way", e.LimiterState.InFlight), zap.Int("waiting", e.LimiterState.Waiting),
			zap.Duration("latency", e.LimiterState.Latency))
	}
	if s := e.Scheduling; s != nil {
		fields = append(fields, zap.Int("priority", s.Priority), zap.Duration("lost", s.Lost), zap.Duration("expected_wait", s.ExpectedWait), zap.Duration("expected_work", s.ExpectedWork))
	}
	if e.Refusal != nil && e.Refusal.Cause == dispatch.CauseCrashes {
		fields = append(fields, zap.String("content", string(e.Fingerprint)))
	}
	if e.Refusal != nil {
		fields = append(fields, zap.String("cause", string(e.Refusal.Cause)), zap.Duration("retry_after", e.Refusal.RetryAfter))
	}
	if e.Err != nil {
		fields = append(fields, ErrorField(e.Err))
	}
	return fields
}

// ErrorField returns the error's text as a log field, zap.Skip for nil.
// zap.Error would add the stack traces that eris keeps, which are a hundred
// times the size of the line.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
