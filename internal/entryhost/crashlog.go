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
	// crashWriteDelay is the delay before crashes are written. It lets
	// simultaneous crashes share one call, and shows whether they are
	// correlated failures.
	crashWriteDelay = time.Second
	// minCrashWriteRetryDelay and maxCrashWriteRetryDelay bound the backoff
	// after a failed write. Hosts must act on known crashes within 3 s of the
	// end of an outage.
	minCrashWriteRetryDelay = 200 * time.Millisecond
	maxCrashWriteRetryDelay = time.Second
	// crashExpiryInterval is how often expired crashes are removed. They expire
	// after a day.
	crashExpiryInterval = time.Minute
)

// crashLog shares with the other hosts which requests crash their servers. A
// host detects only some of the crashes itself, because callers retry on any
// host, and none before its start. Crashes are therefore kept in the log, which
// all hosts get from the planner's replica.
type crashLog struct {
	zl      *zap.Logger
	store   metastore.Store
	tracker *crashes.Tracker
	// isPlanner reports whether this host is the planner, which deletes expired
	// records and allows trial requests with refused fingerprints.
	isPlanner func() bool
	// rewrites is set on hosts that write again what the log has lost.
	rewrites bool
}

func newCrashLog(zl *zap.Logger, store metastore.Store, isPlanner func() bool) *crashLog {
	l := &crashLog{zl: zl, store: store, isPlanner: isPlanner}
	l.tracker = crashes.NewTracker(l.onFingerprintRefused)
	l.tracker.AllowTrialsIf(isPlanner)
	return l
}

// run writes this host's crashes and removes expired ones until ctx ends.
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

// write writes all pending changes, and retries until it succeeds or ctx ends.
// A write without a response may take effect, even later. Writing a crash twice
// does no harm, because it has the same key.
func (l *crashLog) write(ctx context.Context) {
	backoff := minCrashWriteRetryDelay
	for ctx.Err() == nil {
		changes := l.tracker.FilterPending()
		if len(changes) == 0 {
			return
		}
		err := l.append(ctx, changes)
		if err == nil {
			l.tracker.MarkWritten(changes)
			continue
		}
		l.zl.Warn("writing crash records failed; retrying", zap.Int("event", events.CrashWriteFailed), zap.Int("records", len(changes)), ErrorField(err))
		sleep(ctx, backoff)
		backoff = min(backoff*2, maxCrashWriteRetryDelay)
	}
}

// append writes the changes in one call. A change that can't be encoded is left
// out, so that the others can be written; it has effect on this host only.
func (l *crashLog) append(ctx context.Context, changes []crashes.Change) error {
	recs := make([]metastore.Record, 0, len(changes))
	now := time.Now()
	for _, c := range changes {
		key, value, err := c.Encode(now)
		if err != nil {
			l.zl.Error("crash record can't be encoded", zap.Int("event", events.CrashRecordRejected), ErrorField(err))
			continue
		}
		recs = append(recs, metastore.Record{Key: key, Value: value})
	}
	if len(recs) == 0 {
		return nil
	}
	return l.store.Append(ctx, metastore.StreamCrashes, recs)
}

// apply applies records that were read. After a reset they replace all earlier
// ones, but in a new era of the log: its copy lacks the last ones, which candidates write again.
func (l *crashLog) apply(recs []metastore.Record, reset, newEra bool) {
	var read []crashes.Crash
	for _, rec := range recs {
		c, err := crashes.Decode(rec.Key, rec.Value, time.Now())
		if err != nil {
			l.zl.Error("crash record rejected", zap.Int("event", events.CrashRecordRejected), zap.Int64("offset", rec.Offset), ErrorField(err))
			continue
		}
		if reset {
			read = append(read, c.Crash)
			continue
		}
		l.tracker.Apply(c)
	}
	if newEra {
		l.tracker.Merge(read, l.rewrites)
	} else if reset {
		l.tracker.Replace(read)
	}
	if reset {
		l.zl.Info("crash records read", zap.Int("event", events.CrashRecordsRead), zap.Int("records", len(read)))
	}
}

// onFingerprintRefused logs that requests with this fingerprint are refused
// from now on.
func (l *crashLog) onFingerprintRefused(fingerprint crashes.Fingerprint) {
	l.zl.Warn("requests with this fingerprint crash their servers; refusing them", zap.Int("event", events.FingerprintRefused), zap.String("content", string(fingerprint)),
		zap.Strings("peers", l.tracker.CrashedServers(fingerprint)), zap.Duration("refused_for", l.tracker.RefusedFor(fingerprint, time.Now())))
}
