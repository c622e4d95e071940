package router

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/protocol"
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/internal/target"
)

// reportHeaders are the response headers in which targets report about
// themselves. The names of the rate-limit and leaving headers are empty, because
// targets do not send them.
var reportHeaders = protocol.Headers{NotRun: target.HeaderNotRun}

// recordReport records what a target's response states about the target itself.
func (rt *Router) recordReport(resp *target.Response, err error, route routing.Route, sent, now time.Time) {
	if err != nil {
		return
	}
	rt.reports.Record(route.Upstream.Name, feedback.Decode(reportHeaders, resp.Status, resp.Header), sent, now)
}

// onReportChange logs a backoff that a target requests, and removes expired ones.
func (rt *Router) onReportChange(c feedback.Change) {
	rt.log.Info("target requested a backoff", zap.Int("event", events.TargetReported), zap.String("peer", c.Upstream), zap.Duration("rest", c.Backoff))
	rt.reports.Prune(func(string) bool { return true }, time.Now())
}
