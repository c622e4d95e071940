package entryhost

import (
	"context"
	"errors"
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
var reportedLimit = ratelimit.Bounds{Factor: 1.5, Slack: 5, Window: 4 * time.Second}

var (
	upstreamReports = metrics.NewCounter(`papayatide_upstream_reports_total`)
	leaveAsked      = metrics.NewCounter(`papayatide_leave_asked_total`)
	leaveUnanswered = metrics.NewCounter(`papayatide_leave_unanswered_total`)
)

// reported logs a change of what an upstream reports of itself.
func (h *host) reported(c feedback.Change) {
	upstreamReports.Inc()
	h.zl.Info("upstream reported its state", zap.Int("event", events.UpstreamReported), zap.String("peer", c.Upstream),
		zap.Float64("limit", c.Limit), zap.Float64("limit_before", c.Before), zap.Bool("leaving", c.Leaving),
		zap.Duration("rest", c.Rest), zap.String("from", c.From))
}

// errNoPlanner means that this host knows of no planner.
var errNoPlanner = errors.New("no planner is known")

// askLeave asks the planner for leave to send to an upstream with a rate limit. It
// is a ratelimit.Ask.
func (h *host) askLeave(ctx context.Context, upstream string, perSecond float64, want int) (ratelimit.Grant, error) {
	if g, ok := h.leave(upstream, perSecond, want); ok {
		return g, nil
	}
	leaveAsked.Inc()
	addr := h.plannerAddr()
	if addr == "" {
		return ratelimit.Grant{}, errNoPlanner
	}
	g, err := h.peers.Admit(ctx, addr, upstream, perSecond, want)
	if err != nil {
		leaveUnanswered.Inc()
	}
	return g, err
}

// leave gives leave to send to an upstream with a rate limit, if this host plans.
func (h *host) leave(upstream string, perSecond float64, want int) (ratelimit.Grant, bool) {
	if !h.control.planning.Load() {
		return ratelimit.Grant{}, false
	}
	return h.allocator.Take(upstream, perSecond, want, time.Now()), true
}

// withinLimits lowers owners' capacities to the rate limits that they report, so
// that keys move to owners with room.
func withinLimits(load *ownership.Load, owners []*catalogue.Upstream, limit func(id string) float64) {
	for _, u := range owners {
		if most := limit(u.ID); most > 0 {
			load.Cap(u.ID, most)
		}
	}
}
