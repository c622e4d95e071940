package entryhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/internal/view"
)

// applyAndWait applies a batch on the control goroutine. It returns once the
// batch is applied, so that the next read continues after it. It must not be
// called on the control goroutine.
func (c *controller) applyAndWait(ctx context.Context, b relay.Batch) {
	done := make(chan struct{})
	c.post(ctx, func() {
		c.apply(b)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// apply applies the part of a batch that is new to this host's replica.
func (c *controller) apply(b relay.Batch) {
	if len(b.Deltas) > 0 {
		c.applyDeltas(b)
		return
	}
	c.observeEra(b.Next.Era)
	fresh := c.replica.Apply(b)
	if fresh == nil {
		if b.Stream == metastore.StreamOperators && b.Reset && b.Next.Era < c.era {
			c.adoptDesiredOfEarlierEra(b)
		}
		return
	}
	switch b.Stream {
	case metastore.StreamOperators:
		c.applyDesired(fresh.Records)
		c.keepNewerDesired()
		c.applyEvacuations(fresh.Records, fresh.Reset, fresh.NewEra)
	case metastore.StreamUpstreams:
		c.applyUpstreams(fresh.Records, fresh.Reset)
	case metastore.StreamOwnership:
		c.planner.AdvanceStreamEnd(fresh.Next)
		c.applyOwnership(fresh.Records)
	case metastore.StreamCrashes:
		c.crashes.apply(fresh.Records, fresh.Reset, fresh.NewEra)
	}
}

// applyDesired adopts the desired state with the highest version.
func (c *controller) applyDesired(recs []metastore.Record) {
	for _, rec := range recs {
		if rec.Value == nil {
			continue
		}
		state, err := c.decoder.Desired(rec.Key, rec.Value)
		if err != nil {
			c.zl.Error("desired state rejected", zap.Int("event", events.DesiredRejected), zap.Int64("offset", rec.Offset), ErrorField(err))
			continue
		}
		current := c.views.Load().Desired
		if state == nil || (current != nil && state.Version <= current.Version) {
			continue
		}
		c.desiredRecord = rec
		c.views.Publish(func(v *view.View) { v.Desired = state })
		c.zl.Info("desired state adopted", zap.Int("event", events.DesiredAdopted), zap.Int64("version", state.Version), zap.Int64("offset", rec.Offset))
	}
}

// applyOwnership adopts the tables in ownership records, and keeps them decoded for
// followers.
func (c *controller) applyOwnership(recs []metastore.Record) {
	for _, rec := range recs {
		if rec.Value == nil {
			continue
		}
		t, err := ownership.Decode(rec.Value)
		if err != nil {
			c.zl.Error("ownership record rejected", zap.Int("event", events.OwnershipRejected), zap.Int64("offset", rec.Offset), ErrorField(err))
			continue
		}
		c.adoptTable(t)
		c.replica.KeepTable(rec.Offset, t)
	}
}

// applyDeltas applies the deltas of a batch to this host's ownership tables. If
// one does not apply, none is applied and the host requests full tables.
func (c *controller) applyDeltas(b relay.Batch) {
	if !c.replica.Next(b.Stream).Before(b.Next) {
		return // already read from the log service
	}
	tables := map[int64]*ownership.Table{}
	for _, encoded := range b.Deltas {
		t, err := c.applyDelta(encoded)
		if err != nil {
			c.zl.Info("ownership delta does not apply; requesting full tables", zap.Int("event", events.OwnershipChangeRejected),
				zap.String("service", encoded.Key), zap.Int64("offset", encoded.Offset), ErrorField(err))
			c.replica.RequestFullTables()
			return
		}
		tables[encoded.Offset] = t
	}
	if !c.replica.ApplyTables(b.Next, tables) {
		return
	}
	c.planner.AdvanceStreamEnd(b.Next)
	for _, t := range tables {
		c.adoptTable(t)
	}
}

// applyDelta returns the table that results from applying an encoded delta to
// the current one.
func (c *controller) applyDelta(encoded relay.Delta) (*ownership.Table, error) {
	delta, err := ownership.DecodeDelta(encoded.Data)
	if err != nil {
		return nil, err
	}
	return delta.Apply(c.views.Load().Tables[encoded.Key])
}

// adoptTable publishes t, unless the current table of its service is as new.
func (c *controller) adoptTable(t *ownership.Table) {
	current := c.views.Load().Tables[t.Service]
	if current != nil && t.MaxFencingToken <= current.MaxFencingToken {
		return
	}
	if current == nil && t.Era != 0 && t.Era < c.era {
		c.detectUnreliableStart()
	}
	c.ownershipHistory.add(current, t)
	c.views.Publish(func(v *view.View) {
		tables := map[string]*ownership.Table{t.Service: t}
		for name, old := range v.Tables {
			if name != t.Service {
				tables[name] = old
			}
		}
		v.Tables = tables
	})
	level := zap.InfoLevel
	if current != nil && current.Term == t.Term {
		level = zap.DebugLevel // the planner logs each record; a term has several a second
	}
	c.zl.Log(level, "ownership adopted", zap.Int("event", events.OwnershipAdopted), zap.String("service", t.Service),
		zap.Int64("term", t.Term), zap.Int64("fence", t.MaxFencingToken), zap.String("planner", t.Planner), zap.Int("ranges", len(t.Ranges)),
		zap.String("cause", t.Cause))
}

// applyUpstreams applies records of the upstreams stream, in which the last
// record of a server is its entry. After a reset, known servers without an entry
// are missing.
func (c *controller) applyUpstreams(recs []metastore.Record, reset bool) {
	now := time.Now()
	listed := map[string]bool{}
	for _, rec := range recs {
		if rec.Value == nil {
			c.registry.markMissing(rec.Key, c.missingGraceUntil(now), now)
			continue
		}
		u, err := c.decoder.Upstream(rec.Key, rec.Value, now)
		if err != nil {
			// Another writer has replaced the server's own entry. The upstream
			// gets no new requests, and its keys are released first as for a
			// leaving upstream, because it may still be running.
			c.registry.markUnreadable(rec.Key, now)
			c.logRejectedRecord(rec.Key, err, now)
			continue
		}
		listed[rec.Key] = true
		if newest := c.registry.register(u, rec.Value); newest != nil {
			c.replica.SetNewest(metastore.StreamUpstreams, rec.Key, newest)
		}
	}
	if reset {
		c.registry.markMissingExcept(listed, c.missingGraceUntil(now), now)
	}
	c.publishUpstreams()
}

// rejectionLogInterval is the shortest time between two log lines about
// rejected upstream records. Another writer may write many such records a
// second.
const rejectionLogInterval = time.Second

// logRejectedRecord logs that an upstream record can't be used, at most once a
// rejectionLogInterval.
func (c *controller) logRejectedRecord(server string, err error, now time.Time) {
	if now.Sub(c.rejectionLoggedAt) < rejectionLogInterval {
		c.rejectionsSuppressed++
		return
	}
	c.zl.Error("upstream record rejected", zap.Int("event", events.UpstreamRecordRejected), zap.String("peer", server), zap.Int("untold", c.rejectionsSuppressed), ErrorField(err))
	c.rejectionLoggedAt, c.rejectionsSuppressed = now, 0
}

// missingGraceUntil returns the time until which an upstream whose entry is
// missing now is not unlisted. It is in the past unless the log service fails or
// has recently recovered.
func (c *controller) missingGraceUntil(now time.Time) time.Time {
	if _, lost := c.streamLostSince[metastore.StreamUpstreams]; lost {
		return now.Add(relistGracePeriod)
	}
	return c.logRecoveredAt.Add(relistGracePeriod)
}

// publishUpstreams publishes the registry's upstreams, with the effects of
// evacuations and of their own reports.
func (c *controller) publishUpstreams() {
	upstreams := c.registry.snapshot(func(u *catalogue.Upstream) *catalogue.Upstream {
		return c.markLeaving(c.evacuations.annotate(u, c.slowStart(u.Service).Duration))
	})
	c.views.Publish(func(v *view.View) { v.Upstreams = upstreams })
}
