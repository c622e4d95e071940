package entryhost

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
)

var logReturns = metrics.NewCounter(`papayatide_log_returns_total`)

// observeEra handles the log's era as stated by the log service or another host. When it has
// risen, the log has returned from an older copy: the planner ends its terms, and entries
// that are missing are given time to be written again. The streams are read anew by their
// readers; see streamReader.read.
func (c *controller) observeEra(era int64) {
	if era <= c.era {
		return
	}
	old := c.era
	c.era = era
	c.planner.ObserveEra(era, c.clock())
	if old == 0 {
		return
	}
	logReturns.Inc()
	c.logRecoveredAt = time.Now()
	c.zl.Warn("the log has returned from an older copy", zap.Int("event", events.LogReturned), zap.Int64("era", era), zap.Int64("era_before", old))
}
