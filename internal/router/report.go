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

// reportHeaders name what targets report; they name no rate limit.
var reportHeaders = protocol.Headers{NotRun: target.HeaderNotRun}

// recordReport takes in what a target's answer says of the target.
func (rt *Router) recordReport(resp *target.Response, err error, route routing.Route, sent, now time.Time) {
	if err != nil {
		return
	}
	rt.reports.Record(route.Upstream.Name, feedback.Decode(reportHeaders, resp.Status, resp.Header), sent, now)
}

// onReportChange logs a rest that a target asks for, and forgets those that are over.
func (rt *Router) onReportChange(c feedback.Change) {
	rt.log.Info("target asked for a rest", zap.Int("event", events.TargetReported), zap.String("peer", c.Upstream), zap.Duration("rest", c.Backoff))
	rt.reports.Prune(func(string) bool { return true }, time.Now())
}
