package entryhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/metastore"
)

const (
	// crashWriteDelay is the pause before ends are written, so that those of one
	// moment cost one call, and it is known whether they have a common cause.
	crashWriteDelay = time.Second
	// Pauses after a write that failed. Hosts have three seconds after the end
	// of an outage to act on what they know.
	minCrashWriteRetryDelay = 200 * time.Millisecond
	maxCrashWriteRetryDelay = time.Second
	// crashExpiryInterval is how often ends that no longer count are looked for. They
	// count for a day.
	crashExpiryInterval = time.Minute
)

// crashLog shares with the other hosts which requests end their servers. Each
// host sees a few of the ends only, as callers come back on any host, and a
// host that starts has seen none; so they are kept in the log service, where
// the planner's copy of it carries them to every host.
type crashLog struct {
	zl      *zap.Logger
	store   metastore.Store
	tracker *crashes.Tracker
	// isPlanner reports whether this host has records deleted that no longer
	// count.
	isPlanner func() bool
}

func newCrashLog(zl *zap.Logger, store metastore.Store, planning func() bool) *crashLog {
	l := &crashLog{zl: zl, store: store, isPlanner: planning}
	l.tracker = crashes.NewTracker(l.onFingerprintRefused)
	l.tracker.AllowTrialsIf(planning)
	return l
}

// run writes what this host saw until ctx ends.
func (l *crashLog) run(ctx context.Context) {
	t := time.NewTicker(crashExpiryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			l.tracker.Expire(now, l.isPlanner())
		case <-l.tracker.PendingC():
			sleep(ctx, crashWriteDelay)
			l.write(ctx)
		}
	}
}

// write writes all that is pending, however long that takes. A write without an
// answer may take effect all the same, or later: an end that is written twice
// is one end.
func (l *crashLog) write(ctx context.Context) {
	backoff := minCrashWriteRetryDelay
	for ctx.Err() == nil {
		changes := l.tracker.Pending()
		if len(changes) == 0 {
			return
		}
		err := l.append(ctx, changes)
		if err == nil {
			l.tracker.MarkWritten(changes)
			continue
		}
		l.zl.Warn("servers' ends not written; tried again", zap.Int("event", events.CrashWriteFailed), zap.Int("records", len(changes)), ErrorField(err))
		sleep(ctx, backoff)
		backoff = min(backoff*2, maxCrashWriteRetryDelay)
	}
}

// append writes the changes in one call. One that has no record stays this
// host's own: refused with the others, it would keep them from being written.
func (l *crashLog) append(ctx context.Context, changes []crashes.Change) error {
	recs := make([]metastore.Record, 0, len(changes))
	now := time.Now()
	for _, c := range changes {
		key, value, err := c.Encode(now)
		if err != nil {
			l.zl.Error("record of a server's end refused", zap.Int("event", events.CrashRecordRejected), ErrorField(err))
			continue
		}
		recs = append(recs, metastore.Record{Key: key, Value: value})
	}
	if len(recs) == 0 {
		return nil
	}
	return l.store.Append(ctx, metastore.StreamCrashes, recs)
}

// apply takes in records that were read. After a reset they are all there are.
func (l *crashLog) apply(recs []metastore.Record, reset bool) {
	var ends []crashes.Crash
	for _, rec := range recs {
		c, err := crashes.Decode(rec.Key, rec.Value, time.Now())
		if err != nil {
			l.zl.Error("record of a server's end refused", zap.Int("event", events.CrashRecordRejected), zap.Int64("offset", rec.Offset), ErrorField(err))
			continue
		}
		if reset {
			ends = append(ends, c.Crash)
			continue
		}
		l.tracker.Apply(c)
	}
	if reset {
		l.tracker.Replace(ends)
		l.zl.Info("servers' ends read", zap.Int("event", events.CrashRecordsRead), zap.Int("records", len(ends)))
	}
}

// onFingerprintRefused logs that a content is refused from now on.
func (l *crashLog) onFingerprintRefused(c crashes.Fingerprint) {
	l.zl.Warn("requests like this end their servers; they are refused", zap.Int("event", events.FingerprintRefused), zap.String("content", string(c)),
		zap.Strings("peers", l.tracker.CrashedServers(c)), zap.Duration("refused_for", l.tracker.RefusedFor(c, time.Now())))
}
