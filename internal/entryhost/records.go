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

// applyAndWait hands a batch that was read to the control goroutine and returns once
// it was taken in, so that the next read goes on behind it.
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

// apply takes in the part of a batch that is new.
func (c *controller) apply(b relay.Batch) {
	if len(b.Changes) > 0 {
		c.applyChanges(b)
		return
	}
	fresh := c.replica.Apply(b)
	if fresh == nil {
		return
	}
	switch b.Stream {
	case metastore.StreamDesired:
		c.applyDesired(fresh.Records)
		c.applyEvacuations(fresh.Records, fresh.Reset)
	case metastore.StreamUpstreams:
		c.applyUpstreams(fresh.Records, fresh.Reset)
	case metastore.StreamOwnership:
		c.planner.AdvanceStreamEnd(fresh.NextOffset)
		c.applyOwnership(fresh.Records)
	case metastore.StreamCrashes:
		c.crashes.apply(fresh.Records, fresh.Reset)
	}
}

func (c *controller) applyDesired(recs []metastore.Record) {
	for _, rec := range recs {
		if rec.Value == nil {
			continue
		}
		st, err := c.decoder.Desired(rec.Key, rec.Value)
		if err != nil {
			c.zl.Error("desired state refused", zap.Int("event", events.DesiredRejected), zap.Int64("offset", rec.Offset), ErrorField(err))
			continue
		}
		cur := c.views.Load().Desired
		if st == nil || (cur != nil && st.Version <= cur.Version) {
			continue
		}
		c.views.Publish(func(v *view.View) { v.Desired = st })
		c.zl.Info("desired state adopted", zap.Int("event", events.DesiredAdopted), zap.Int64("version", st.Version), zap.Int64("offset", rec.Offset))
	}
}

func (c *controller) applyOwnership(recs []metastore.Record) {
	for _, rec := range recs {
		if rec.Value == nil {
			continue
		}
		t, err := ownership.Decode(rec.Value)
		if err != nil {
			c.zl.Error("ownership record refused", zap.Int("event", events.OwnershipRejected), zap.Int64("offset", rec.Offset), ErrorField(err))
			continue
		}
		c.adoptTable(t)
		c.replica.KeepTable(rec.Offset, t)
	}
}

// applyChanges takes in changes of the tables that this host has. If one does
// not apply, none is taken in and whole tables are asked for.
func (c *controller) applyChanges(b relay.Batch) {
	if b.NextOffset <= c.replica.NextOffset(b.Stream) {
		return // read from the log service meanwhile
	}
	made := map[int64]*ownership.Table{}
	for _, change := range b.Changes {
		t, err := c.applyDelta(change)
		if err != nil {
			c.zl.Info("change of ownership does not apply; the whole table is asked for", zap.Int("event", events.OwnershipChangeRejected),
				zap.String("service", change.Key), zap.Int64("offset", change.Offset), ErrorField(err))
			c.replica.RequestFullTables()
			return
		}
		made[change.Offset] = t
	}
	if !c.replica.ApplyTables(b.NextOffset, made) {
		return
	}
	c.planner.AdvanceStreamEnd(b.NextOffset)
	for _, t := range made {
		c.adoptTable(t)
	}
}

// applyDelta returns the table that a change makes of the one in force.
func (c *controller) applyDelta(change relay.Change) (*ownership.Table, error) {
	parsed, err := ownership.DecodeDelta(change.Data)
	if err != nil {
		return nil, err
	}
	return parsed.Apply(c.views.Load().Tables[change.Key])
}

func (c *controller) adoptTable(t *ownership.Table) {
	cur := c.views.Load().Tables[t.Service]
	if cur != nil && t.MaxFencingToken <= cur.MaxFencingToken {
		return
	}
	c.ownershipHistory.add(cur, t)
	c.views.Publish(func(v *view.View) {
		tables := map[string]*ownership.Table{t.Service: t}
		for name, old := range v.Tables {
			if name != t.Service {
				tables[name] = old
			}
		}
		v.Tables = tables
	})
	c.zl.Info("ownership adopted", zap.Int("event", events.OwnershipAdopted), zap.String("service", t.Service),
		zap.Int64("term", t.Term), zap.Int64("fence", t.MaxFencingToken), zap.String("planner", t.Planner), zap.Int("ranges", len(t.Ranges)),
		zap.String("cause", t.Cause))
}

// applyUpstreams takes in upstreams' records. After a reset, those that are
// not among them are missing.
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
			// Whoever wrote it, the server's own entry is not there any more.
			// Its upstream gets nothing new; its keys are taken back from it
			// as from one that leaves, as it may be alive.
			c.registry.markMissing(rec.Key, now, now)
			c.logRejectedRecord(rec.Key, err, now)
			continue
		}
		listed[rec.Key] = true
		c.registry.register(u)
	}
	if reset {
		c.registry.markMissingExcept(listed, c.missingGraceUntil(now), now)
	}
	c.publishUpstreams()
}

// noteRefused is the least time between two log lines of upstreams' records
// that cannot be used: another writer may write many a second.
const rejectionLogInterval = time.Second

// logRejectedRecord logs that an upstream's record cannot be used.
func (c *controller) logRejectedRecord(server string, err error, now time.Time) {
	if now.Sub(c.rejectionLoggedAt) < rejectionLogInterval {
		c.rejectionsUnlogged++
		return
	}
	c.zl.Error("upstream's record refused", zap.Int("event", events.UpstreamRecordRejected), zap.String("peer", server), zap.Int("untold", c.rejectionsUnlogged), ErrorField(err))
	c.rejectionLoggedAt, c.rejectionsUnlogged = now, 0
}

// missingGraceUntil returns until when an upstream that is missing now is not taken
// for gone; in the past unless the log service has only just come back.
func (c *controller) missingGraceUntil(now time.Time) time.Time {
	if _, lost := c.streamLostSince[metastore.StreamUpstreams]; lost {
		return now.Add(relistGracePeriod)
	}
	return c.logRecoveredAt.Add(relistGracePeriod)
}

func (c *controller) publishUpstreams() {
	snap := c.registry.snapshot(func(u *catalogue.Upstream) *catalogue.Upstream {
		return c.markLeaving(c.evacuations.annotate(u, c.slowStart(u.Service).Duration))
	})
	c.views.Publish(func(v *view.View) { v.Upstreams = snap })
}
