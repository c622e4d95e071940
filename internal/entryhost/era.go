package entryhost

import (
	"bytes"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/relay"
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

// keepNewerDesired keeps the desired state in force in the replica in place of an older one of a
// copy, until it is written again: a host that has just started gets it from here.
func (c *controller) keepNewerDesired() {
	if c.desiredRecord.Value == nil {
		return
	}
	if rec, ok := c.replica.Newest(metastore.StreamOperators, c.desiredRecord.Key); !ok || !bytes.Equal(rec.Value, c.desiredRecord.Value) {
		c.replica.SetNewest(metastore.StreamOperators, c.desiredRecord.Key, c.desiredRecord.Value)
	}
}

// adoptDesiredOfEarlierEra adopts the desired state in a batch of an era before that of this host's
// replica, if it is newer: the followed host has not read the returned log yet. Without it, a host
// that starts right after the return runs the older state of the copy until that read.
func (c *controller) adoptDesiredOfEarlierEra(b relay.Batch) {
	c.applyDesired(b.Records)
	c.keepNewerDesired()
}
