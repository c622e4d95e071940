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

// slowStartWindow is the window of the sheet's bound for a slow start.
const slowStartWindow = time.Second

// reportedLimit bounds what an upstream gets that reports a rate limit.
var reportedLimitBounds = ratelimit.Bounds{Factor: 1.5, Slack: 5, Window: 4 * time.Second}

var (
	upstreamReports      = metrics.NewCounter(`papayatide_upstream_reports_total`)
	permitRequests       = metrics.NewCounter(`papayatide_leave_asked_total`)
	failedPermitRequests = metrics.NewCounter(`papayatide_leave_unanswered_total`)
)

// onUpstreamReport takes in a change of what an upstream reports of itself.
func (h *host) onUpstreamReport(ctx context.Context, c feedback.Change) {
	upstreamReports.Inc()
	h.zl.Info("upstream reported its state", zap.Int("event", events.UpstreamReported), zap.String("peer", c.Upstream),
		zap.Float64("limit", c.RateLimit), zap.Float64("limit_before", c.PreviousRateLimit), zap.Bool("leaving", c.Leaving),
		zap.Duration("rest", c.Backoff), zap.Bool("ended", !c.CrashedAt.IsZero()), zap.String("from", c.From))
	if !c.CrashedAt.IsZero() {
		h.picker.RecordCrash(c.Upstream, c.CrashedAt)
	}
	if c.Leaving {
		h.controller.post(ctx, h.controller.publishUpstreams)
	}
}

// leavingMargin is how much sooner than its bound the last request is sent to an
// upstream that has reported that it leaves, for the way there.
const drainMargin = 300 * time.Millisecond

// markLeaving returns the upstream with what its answers say of its leaving. What
// the log says of it may be older.
func (c *controller) markLeaving(u *catalogue.Upstream) *catalogue.Upstream {
	since, leaving := c.feedback.LeavingSince(u.ID)
	if !leaving {
		return u
	}
	marked := *u
	marked.ReportedLeaving = true
	if by := since.Add(max(c.drainTimeout-drainMargin, 0)); marked.LeaveBy.IsZero() || by.Before(marked.LeaveBy) {
		marked.LeaveBy = by
	}
	return &marked
}

// errNoPlanner means that this host knows of no planner.
var errNoPlanner = errors.New("no planner is known")

// requestPermits asks the planner for leave to send to an upstream with a rate limit. It
// is a ratelimit.Ask.
func (h *host) requestPermits(ctx context.Context, upstream string, perSecond float64, want int) (ratelimit.Permit, error) {
	if g, ok := h.issuePermits(upstream, perSecond, want); ok {
		return g, nil
	}
	permitRequests.Inc()
	addr := h.plannerAddr()
	if addr == "" {
		return ratelimit.Permit{}, errNoPlanner
	}
	g, err := h.peers.AcquirePermits(ctx, addr, upstream, perSecond, want)
	if err != nil {
		failedPermitRequests.Inc()
	}
	return g, err
}

// issuePermits gives leave to send to an upstream with a rate limit, if this host plans.
func (h *host) issuePermits(upstream string, perSecond float64, want int) (ratelimit.Permit, bool) {
	if !h.controller.isPlanner.Load() {
		return ratelimit.Permit{}, false
	}
	return h.allocator.Take(upstream, perSecond, want, time.Now()), true
}

const (
	// minBackoffHosts is how many hosts an owner must have asked for a rest for its
	// keys to move; one alone may have sent it too much.
	minBackoffHosts = 2
	// backoffCapacity is the rate, in requests a second, that a resting owner counts
	// with.
	backoffCapacity = 0.1
	// maxBackoffFraction is the part of the owners above which resting ones keep their
	// keys, unless it is one alone: the whole service lacks room, and the others
	// could not take them.
	maxBackoffFraction = 0.25
)

// unconfirmed is how long after the last answer that named a limit an owner is
// expected to do more again, as it may get too few requests to report the end: twice
// the limit, four times after as long again, and so on.
const limitDoublingInterval = 2 * time.Second

// expectedCapacity returns the rate, in requests a second, that an owner with a limit is
// expected to take.
func expectedCapacity(limit float64, age time.Duration) float64 {
	return limit * math.Exp2(float64(age/limitDoublingInterval))
}

// applyReportedLimits lowers owners' capacities to the rate limits that they report, and
// those of owners that turn requests away to nearly nothing, so that keys move to
// owners with room; and has owners refilled that lost theirs so.
func applyReportedLimits(load *ownership.Load, owners []*catalogue.Upstream, reports *feedback.Tracker, now time.Time) {
	most := map[string]float64{}
	load.Refill = map[string]bool{}
	var resting []string
	for _, u := range owners {
		s := reports.Status(u.ID, now)
		if s.RecentlyThrottled {
			load.Refill[u.ID] = true
		}
		if s.RateLimit > 0 {
			most[u.ID] = expectedCapacity(s.RateLimit, s.RateLimitAge)
		}
		if s.BackoffHosts >= minBackoffHosts {
			resting = append(resting, u.ID)
		}
	}
	if float64(len(resting)) <= max(1, maxBackoffFraction*float64(len(owners))) {
		for _, id := range resting {
			most[id] = backoffCapacity
		}
	}
	if len(most) > 0 {
		load.LimitCapacity(most)
	}
}
