package entryhost

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/ratelimit"
)

// slowStartWindow is the window of the configured bound on requests to an
// upstream in its slow start.
const slowStartWindow = time.Second

// reportedLimitBounds bounds the requests to an upstream that reports a rate
// limit.
var reportedLimitBounds = ratelimit.Bounds{Factor: 1.5, Slack: 5, Window: 4 * time.Second}

var (
	upstreamReports      = metrics.NewCounter(`papayatide_upstream_reports_total`)
	permitRequests       = metrics.NewCounter(`papayatide_leave_asked_total`)
	failedPermitRequests = metrics.NewCounter(`papayatide_leave_unanswered_total`)
)

// onUpstreamChange handles a change in what is known of an upstream: from a report
// in a response to this host, or from another host's notice of a report or a crash.
func (h *host) onUpstreamChange(ctx context.Context, c feedback.Change) {
	h.logUpstreamChange(c)
	if !c.CrashedAt.IsZero() {
		h.picker.RecordCrash(c.Upstream, c.CrashedAt)
	}
	if c.Leaving {
		h.controller.post(ctx, h.controller.publishUpstreams)
	}
}

// onUpstreamReplaced handles the entry of an upstream's next incarnation, which may have sent
// reports before this host read it. It is called on the control goroutine, before the upstreams
// are published.
func (h *host) onUpstreamReplaced(old, next string) {
	if c, changed := h.feedback.CarryOver(old, next, h.picker.LastRestart(old)); changed {
		h.logUpstreamChange(c)
	}
}

func (h *host) logUpstreamChange(c feedback.Change) {
	upstreamReports.Inc()
	h.zl.Info("upstream state changed", zap.Int("event", events.UpstreamReported), zap.String("peer", c.Upstream),
		zap.Float64("limit", c.RateLimit), zap.Float64("limit_before", c.PreviousRateLimit), zap.Bool("leaving", c.Leaving),
		zap.Duration("rest", c.Backoff), zap.Bool("ended", !c.CrashedAt.IsZero()), zap.String("from", c.From))
}

// drainMargin allows for network delay: the last request to a leaving upstream
// is sent this much before the end of the drain timeout.
const drainMargin = 300 * time.Millisecond

// markLeaving returns u, marked as leaving if its responses have reported so.
// Its entry in the log may be older than that report.
func (c *controller) markLeaving(u *catalogue.Upstream) *catalogue.Upstream {
	reportedAt, leaving := c.feedback.LeavingSince(u.ID)
	if !leaving {
		return u
	}
	marked := *u
	marked.ReportedLeaving = true
	if handoverBy := reportedAt.Add(max(c.drainTimeout-drainMargin, 0)); marked.HandoverBy.IsZero() || handoverBy.Before(marked.HandoverBy) {
		marked.HandoverBy = handoverBy
	}
	return &marked
}

var errNoPlanner = errors.New("no planner known")

// requestPermits gets permits to send up to want requests to an upstream with a
// rate limit of perSecond, from this host if it is the planner and otherwise
// from the planner. It is a ratelimit.PermitFunc.
func (h *host) requestPermits(ctx context.Context, upstream string, perSecond float64, want int) (ratelimit.PermitReply, error) {
	if reply, ok := h.issuePermits(upstream, perSecond, want); ok {
		return reply, nil
	}
	permitRequests.Inc()
	addr := h.plannerAddr()
	if addr == "" {
		return ratelimit.PermitReply{}, errNoPlanner
	}
	reply, err := h.peers.AcquirePermits(ctx, addr, upstream, perSecond, want)
	if err != nil {
		failedPermitRequests.Inc()
	}
	return reply, err
}

// issuePermits issues permits for an upstream with a rate limit. It returns
// false if this host is not the planner.
func (h *host) issuePermits(upstream string, perSecond float64, want int) (ratelimit.PermitReply, bool) {
	if !h.controller.isPlanner.Load() {
		return ratelimit.PermitReply{}, false
	}
	return h.allocator.Take(upstream, perSecond, want, time.Now()), true
}

const (
	// minBackoffHosts is how many hosts an owner must have asked to back off
	// before its keys move. A single host may have sent it too much.
	minBackoffHosts = 2
	// backoffCapacity is the capacity, in requests per second, assumed for an
	// owner that asks for backoff.
	backoffCapacity = 0.1
	// maxBackoffFraction is the fraction of a service's owners, or one owner if
	// that is more, above which owners that ask for backoff keep their keys:
	// the whole service then lacks capacity, and the other owners could not
	// take the keys.
	maxBackoffFraction = 0.25
)

// limitDoublingInterval is the time after which the assumed limit of an owner
// doubles, counted from its last response that reported one. An owner with few
// keys may get too few requests to report that its limit has ended.
const limitDoublingInterval = 2 * time.Second

// expectedCapacity returns the capacity, in requests per second, assumed for an
// owner that reported limit age ago.
func expectedCapacity(limit float64, age time.Duration) float64 {
	return limit * math.Exp2(float64(age/limitDoublingInterval))
}

// applyReportedLimits lowers the capacities in load to the rate limits that owners report, and
// to backoffCapacity for owners that ask for backoff, so that keys move to owners with spare
// capacity. In load.Refill it marks the owners that have, or recently had, either: they may have
// lost keys because of it, and rebalancing moves keys back to them while they have little load.
func applyReportedLimits(load *ownership.Load, owners []*catalogue.Upstream, reports *feedback.Tracker, now time.Time) {
	capacities := map[string]float64{}
	load.Refill = map[string]bool{}
	var backingOff []string
	for _, u := range owners {
		status := reports.Status(u.ID, now)
		if status.RecentlyThrottled {
			load.Refill[u.ID] = true
		}
		if status.RateLimit > 0 {
			capacities[u.ID] = expectedCapacity(status.RateLimit, status.RateLimitAge)
		}
		if status.BackoffHosts >= minBackoffHosts {
			backingOff = append(backingOff, u.ID)
		}
	}
	if float64(len(backingOff)) <= max(1, maxBackoffFraction*float64(len(owners))) {
		for _, id := range backingOff {
			capacities[id] = backoffCapacity
		}
	}
	if len(capacities) > 0 {
		load.LimitCapacity(capacities)
	}
}
