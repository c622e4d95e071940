package ingress

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
)

const reportInterval = time.Second

// Report logs until ctx ends, at most once each reportInterval, how many connections the limits have closed.
func Report(ctx context.Context, log *zap.Logger) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	last := CountsSoFar()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := CountsSoFar()
		if now != last {
			log.Warn("connections of clients closed at a limit", zap.Int("event", events.ClientsLimited), zap.Uint64("evicted", now.Evicted-last.Evicted),
				zap.Uint64("rejected", now.Rejected-last.Rejected), zap.Uint64("long_heads", now.LongHeads-last.LongHeads), zap.Uint64("stalled", now.StalledWrites-last.StalledWrites))
		}
		last = now
	}
}
