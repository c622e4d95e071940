package entryhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/relay"
)

const (
	// Waits of a read for a record. The planner's copy is followed by all
	// hosts, and each read that returns proves it current, so its reads are
	// short; at 0.7 s two streams cost 2.9 calls a second for the whole
	// fleet. The ownership stream has no other writer than the planner,
	// which looks every idlePause whether that still holds.
	plannerLongPoll   = 700 * time.Millisecond
	skipCheckInterval = 100 * time.Millisecond
	// directLongPoll is the wait of hosts that cannot follow the planner. It
	// bounds how long a record stays unseen if the service misses waking
	// the reader, as was seen right after a cut healed.
	directLongPoll = 1500 * time.Millisecond
	// Pauses after a read that failed. They are short, as a host must know
	// what it missed within three seconds of a cut's end, of which two pass
	// in telling lapsed entries from upstreams that left. One reader of the
	// three tries; the others wait for it, at most awaitLead.
	minReadRetryDelay = 100 * time.Millisecond
	maxReadRetryDelay = 300 * time.Millisecond
	maxProbeWait      = 2 * time.Second
	// immediateReadTimeout bounds a read that does not wait for a record. One that set out
	// while the way was cut would otherwise hold the next back for 1.5 s after the
	// cut's end. A slow service answers within 0.3 s.
	immediateReadTimeout = 600 * time.Millisecond
	// Pauses after a read of the upstreams' stream, so that records that
	// come in a burst cost one read: of the planner, whom all others follow,
	// and of a host that reads for itself. When a fleet starts every host
	// does, and every upstream writes: 91 hosts made some 1,800 calls in two
	// seconds with the short pause.
	upstreamBatchDelayPlanner = 150 * time.Millisecond
	upstreamBatchDelayDirect  = 600 * time.Millisecond
	// The same after a read of servers' ends.
	crashBatchDelayPlanner = 300 * time.Millisecond
	crashBatchDelayDirect  = 2 * time.Second
)

// streamReader reads one stream from the log service itself.
type streamReader struct {
	store  metastore.Store
	stream metastore.Stream
	// delay, if set, says how long to pause before the first read.
	startDelay func() time.Duration
	// batchDelay says how long to pause after a read that returned records.
	batchDelay func() time.Duration
	replica    *relay.Replica
	// maxWait says how long the next read may wait.
	maxWait func() time.Duration
	// apply is handed what was read, failed each error and nil after a
	// success.
	apply    func(relay.Batch)
	onResult func(error)
	// idle, if set, says that the stream need not be read at present.
	skip func() bool
	// firstReadNoWait readers do not wait for a record the first time: others follow this
	// host's copy, and until a read has returned it is as old as it was.
	firstReadNoWait bool
	// isProbe is the reader that tries while the service fails.
	isProbe bool
	health  *logHealth
}

// logHealth tells the readers of one host whether the service answers the one
// that leads. While it does not, the others need not ask.
type logHealth struct {
	mu sync.Mutex
	// recovered is closed when the service answers again; nil while it does.
	recovered chan struct{}
}

// setReachable takes in whether the leading reader was answered.
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

// awaitRecovery waits until the leading reader is answered, for at most d.
func (h *logHealth) awaitRecovery(ctx context.Context, d time.Duration) {
	h.mu.Lock()
	back := h.recovered
	h.mu.Unlock()
	if back == nil {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-back:
	case <-t.C:
	case <-ctx.Done():
	}
}

// run follows the stream until ctx ends.
func (f *streamReader) run(ctx context.Context) {
	if f.startDelay != nil {
		sleep(ctx, f.startDelay())
	}
	backoff := minReadRetryDelay
	next := f.replica.NextOffset(f.stream)
	noWait := f.firstReadNoWait
	for ctx.Err() == nil {
		if f.skip != nil && f.skip() {
			sleep(ctx, skipCheckInterval)
			continue
		}
		wait := f.maxWait()
		if noWait {
			wait = 0
		}
		at, err := f.read(ctx, max(next, f.replica.NextOffset(f.stream)), wait)
		if ctx.Err() != nil {
			return
		}
		noWait = err != nil // waiting for a record would keep the service's return unseen
		f.onResult(err)
		if f.isProbe {
			f.health.setReachable(err == nil)
		}
		if err != nil {
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(backoff*2, maxReadRetryDelay)
			if !f.isProbe {
				f.health.awaitRecovery(ctx, maxProbeWait)
			}
			continue
		}
		backoff = minReadRetryDelay
		if at > next {
			sleep(ctx, f.batchDelay())
		}
		next = at
	}
}

// readOnce makes one read, as run does, and returns why it failed.
func (f *streamReader) readOnce(ctx context.Context) error {
	_, err := f.read(ctx, f.replica.NextOffset(f.stream), 0)
	if ctx.Err() == nil {
		f.onResult(err)
	}
	return err
}

// read makes one read from offset next, which may wait so long for a record, or
// of the newest records if next is negative or no longer kept, and returns the
// offset to go on from.
func (f *streamReader) read(ctx context.Context, next int64, wait time.Duration) (int64, error) {
	if next >= 0 {
		b, err := f.readFrom(ctx, next, wait)
		if err == nil {
			f.replica.MarkCurrent(f.stream, time.Now())
			if len(b.Records) > 0 {
				f.apply(relay.Batch{Stream: f.stream, Records: b.Records, NextOffset: b.Next})
			}
			return b.Next, nil
		}
		if !errors.Is(err, metastore.ErrTrimmed) {
			return next, err
		}
	}
	asked := time.Now()
	recs, end, err := f.store.Newest(ctx, f.stream)
	if err != nil {
		return next, err
	}
	f.replica.MarkCurrent(f.stream, asked)
	f.apply(relay.Batch{Stream: f.stream, Reset: true, Records: recs, NextOffset: end})
	return end, nil
}

// readFrom reads from offset next on.
func (f *streamReader) readFrom(ctx context.Context, next int64, wait time.Duration) (metastore.Batch, error) {
	if wait == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, immediateReadTimeout)
		defer cancel()
	}
	return f.store.Read(ctx, f.stream, next, wait)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
