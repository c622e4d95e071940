package entryhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/progress"
	"github.com/papayatide/papayatide/internal/relay"
)

const (
	// plannerLongPoll is the longest time that a read by the planner or a candidate waits for a
	// record; see longPollWait. Each read that returns proves the replica current, and all hosts
	// follow the planner's, so the wait is short. While no records arrive, the planner's reads of
	// the two streams that it must read cost the log service 2.9 calls a second.
	plannerLongPoll = 700 * time.Millisecond
	// skipCheckInterval is how often a skipped stream is checked. Only the
	// planner skips a stream: ownership, while no other host writes it.
	skipCheckInterval = 100 * time.Millisecond
	// defaultLongPoll is how long reads by the other hosts wait, and on all hosts
	// those of the crash stream. It bounds how long a record remains unread if
	// the service does not wake the reader, which can happen right after the end
	// of a network partition.
	defaultLongPoll = 1500 * time.Millisecond
	// minReadRetryDelay and maxReadRetryDelay bound the backoff after a failed
	// read; see retryDelay. They are short: within 3 s of the end of a network
	// partition a host must have read what it missed, and for 2 s of that
	// (relistGracePeriod) it can't tell expired entries from upstreams that have left.
	minReadRetryDelay = 100 * time.Millisecond
	maxReadRetryDelay = 300 * time.Millisecond
	// maxRecoveryWait is how long the other readers wait for the recovery reader to
	// succeed before they retry themselves.
	maxRecoveryWait = 2 * time.Second
	// immediateReadTimeout bounds a read that does not wait for a record, until its response
	// begins and between the response's parts.
	// Without it, a read sent during a network partition would delay the next one
	// until 1.5 s after the partition's end. A slow service responds within 0.3 s.
	immediateReadTimeout = 600 * time.Millisecond
	// plannerUpstreamBatchDelay and defaultUpstreamBatchDelay are the delays after a read of the
	// upstreams stream that returned records, on the planner and on the other hosts, so that a
	// burst of records costs one read. That of the other hosts is longer: at a fleet's start every
	// host reads while every upstream writes. If 91 hosts all used plannerUpstreamBatchDelay, they
	// would make some 1,800 calls in 2 s.
	plannerUpstreamBatchDelay = 150 * time.Millisecond
	defaultUpstreamBatchDelay = 600 * time.Millisecond
	// plannerCrashBatchDelay and defaultCrashBatchDelay are the same for the crash
	// stream; see crashBatchDelay.
	plannerCrashBatchDelay = 300 * time.Millisecond
	defaultCrashBatchDelay = 2 * time.Second
)

// streamReader reads one stream from the log service.
type streamReader struct {
	store  metastore.Store
	stream metastore.Stream
	// startDelay, if set, returns the delay before the first read.
	startDelay func() time.Duration
	// batchDelay returns the delay after a read that returned records.
	batchDelay func() time.Duration
	replica    *relay.Replica
	// maxWait returns how long the next read may wait for a record.
	maxWait func() time.Duration
	// apply receives each batch that was read. onResult receives the error of
	// each read, nil after a success.
	apply    func(relay.Batch)
	onResult func(error)
	// skip, if set, reports whether the stream needs no reading at present.
	skip func() bool
	// firstReadNoWait makes the first read not wait for a record. Other hosts
	// may follow this host's replica, whose age only drops once a read has
	// returned.
	firstReadNoWait bool
	// isRecoveryReader is set on the recovery reader, that of the upstreams stream.
	// While the service fails, it retries as soon as its backoff has passed; the other
	// readers then also wait up to maxRecoveryWait for it to succeed.
	isRecoveryReader bool
	health           *logHealth
}

// logHealth shows the readers of one host whether the recovery reader reaches the
// log service. While it does not, the others wait.
type logHealth struct {
	mu sync.Mutex
	// recovered is closed when the service responds again; nil while it is
	// reachable.
	recovered chan struct{}
}

// setReachable records whether the recovery reader's last read succeeded.
func (h *logHealth) setReachable(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case ok && h.recovered != nil:
		close(h.recovered)
		h.recovered = nil
	case !ok && h.recovered == nil:
		h.recovered = make(chan struct{})
	}
}

// awaitRecovery waits until the recovery reader succeeds, ctx ends or d has
// passed. It returns at once if the recovery reader's last read succeeded.
func (h *logHealth) awaitRecovery(ctx context.Context, d time.Duration) {
	h.mu.Lock()
	recovered := h.recovered
	h.mu.Unlock()
	if recovered == nil {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-recovered:
	case <-t.C:
	case <-ctx.Done():
	}
}

// run reads the stream until ctx ends.
func (r *streamReader) run(ctx context.Context) {
	if r.startDelay != nil {
		sleep(ctx, r.startDelay())
	}
	backoff := minReadRetryDelay
	noWait := r.firstReadNoWait
	for ctx.Err() == nil {
		if r.skip != nil && r.skip() {
			sleep(ctx, skipCheckInterval)
			continue
		}
		wait := r.maxWait()
		if noWait {
			wait = 0
		}
		sentAt := time.Now()
		records, err := r.read(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		noWait = err != nil // a read that waits for a record would detect the recovery late
		r.onResult(err)
		if r.isRecoveryReader {
			r.health.setReachable(err == nil)
		}
		if err != nil {
			sleep(ctx, retryDelay(backoff, time.Since(sentAt)))
			backoff = min(backoff*2, maxReadRetryDelay)
			if !r.isRecoveryReader {
				r.health.awaitRecovery(ctx, maxRecoveryWait)
			}
			continue
		}
		backoff = minReadRetryDelay
		if records > 0 {
			sleep(ctx, r.batchDelay())
		}
	}
}

// retryDelay returns the delay after a read that failed after the given time, which counts
// towards the backoff. A read that timed out has already spaced the calls: with the full backoff
// on top, a read sent just before the end of a network partition would delay the next one until
// 1.05 s after it, which leaves less than the 2 s of relistGracePeriod.
func retryDelay(backoff, readDuration time.Duration) time.Duration {
	return max(backoff/2+rand.N(backoff)-readDuration, minReadRetryDelay/2)
}

// readOnce makes one read that does not wait for a record.
func (r *streamReader) readOnce(ctx context.Context) error {
	_, err := r.read(ctx, 0)
	if ctx.Err() == nil {
		r.onResult(err)
	}
	return err
}

// read makes one read from where the replica ends, waits up to wait for a record, and
// returns the number of records that it applied. If the replica is empty, its next record is
// no longer kept or the log's era has changed, it reads the newest record of each key.
func (r *streamReader) read(ctx context.Context, wait time.Duration) (int, error) {
	if next := r.replica.Next(r.stream); next.Offset >= 0 {
		batch, err := r.readFrom(ctx, next, wait)
		if err == nil {
			receivedAt := time.Now()
			if len(batch.Records) > 0 {
				r.apply(relay.Batch{Stream: r.stream, Records: batch.Records, Next: batch.Next})
			}
			r.replica.MarkCurrent(r.stream, batch.End, receivedAt)
			return len(batch.Records), nil
		}
		if !errors.Is(err, metastore.ErrTrimmed) && !errors.Is(err, metastore.ErrEraChanged) {
			return 0, err
		}
	}
	sentAt := time.Now()
	records, end, err := r.store.Newest(ctx, r.stream)
	if err != nil {
		return 0, err
	}
	r.apply(relay.Batch{Stream: r.stream, Reset: true, Records: records, Next: end})
	r.replica.MarkCurrent(r.stream, end, sentAt)
	return len(records), nil
}

// readFrom reads the records from position next on.
func (r *streamReader) readFrom(ctx context.Context, next metastore.Position, wait time.Duration) (metastore.Batch, error) {
	if wait == 0 {
		var cancel context.CancelFunc
		ctx, cancel = progress.WithTimeout(ctx, immediateReadTimeout)
		defer cancel()
	}
	return r.store.Read(ctx, r.stream, next, wait)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
