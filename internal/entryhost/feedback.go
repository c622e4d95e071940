package entryhost

import (
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/feedback"
)

var upstreamReports = metrics.NewCounter(`papayatide_upstream_reports_total`)

// reported logs a change of what an upstream reports of itself.
func (h *host) reported(c feedback.Change) {
	upstreamReports.Inc()
	h.zl.Info("upstream reported its state", zap.Int("event", events.UpstreamReported), zap.String("peer", c.Upstream),
		zap.Float64("limit", c.Limit), zap.Float64("limit_before", c.Before), zap.Bool("leaving", c.Leaving),
		zap.Duration("rest", c.Rest), zap.String("from", c.From))
}
