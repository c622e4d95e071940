package entryhost

import (
	"context"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
)

// idleCheckInterval is how often the idle connections to upstreams are checked. A server
// is down for about a second when it restarts, and notices of its crash take up to 0.6 s
// to reach all hosts.
const idleCheckInterval = 200 * time.Millisecond

// checkIdleConnections checks the idle connections to upstreams once an idleCheckInterval
// until ctx ends.
func (h *host) checkIdleConnections(ctx context.Context) {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.dispatch.CheckIdleConnections(ctx)
		}
	}
}

// onLostConnections logs that an upstream may have restarted.
func (l *limitedLogger) onLostConnections(u *catalogue.Upstream) {
	l.log("all connections to the upstream ended; it may have restarted", events.UpstreamConnectionsLost, u.ID, time.Now())
}
