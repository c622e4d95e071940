package entryhost

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/upstream"
)

// checkHealth asks an upstream whether it is ready, as an entry states, and has the control goroutine
// handle the result. It runs on a goroutine of its own.
func (c *controller) checkHealth(ctx context.Context, u *catalogue.Upstream) {
	answer, err := upstream.Unsupported, error(nil)
	if path := c.healthPath(u.Service); path != "" {
		callCtx, cancel := context.WithTimeout(ctx, checkTimeout)
		answer, err = c.healthCheck(callCtx, upstream.Target{ID: u.ID, Addr: u.Addr}, path)
		cancel()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayatide_upstream_health_checks_total{result=%q}`, answer)).Inc()
	c.post(ctx, func() {
		ready := c.registry.finishCheck(u.ID, answer, time.Now())
		c.zl.Info("leaving upstream was asked whether it is ready", zap.Int("event", events.UpstreamHealthChecked), zap.String("peer", u.ID),
			zap.String("service", u.Service), zap.Int64("sequence", u.Sequence), zap.Stringer("answer", answer), zap.Bool("ready", ready), ErrorField(err))
		if ready {
			c.publishUpstreams()
		}
	})
}

// healthPath returns the path of the health checks of a service's upstreams; empty if it is unknown.
func (c *controller) healthPath(service string) string {
	if st := c.views.Load().Desired; st != nil && st.Services[service] != nil {
		return st.Services[service].HealthPath
	}
	return ""
}
