package entryhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

const (
	// readWait is how long a read waits for a record. Calls are priced, so
	// it is long; a connection that goes silent is found by TCP keep-alive.
	readWait = 25 * time.Second
	// retryRead bounds the pause after a read that failed. The first retry
	// is quick, for a connection that broke; later ones spare the service.
	retryReadFirst = 100 * time.Millisecond
	retryReadMost  = 800 * time.Millisecond
	// gather is the pause after a read of the upstreams' stream, so that
	// records that come in a burst cost one read.
	gather = 150 * time.Millisecond
)

// follower reads one stream from its newest records on.
type follower struct {
	store  metastore.Store
	stream metastore.Stream
	pause  time.Duration
	// reset is handed the newest record of each key, batch what follows,
	// failed each error and nil after a success.
	reset  func(recs []metastore.Record, next int64)
	batch  func(metastore.Batch)
	failed func(error)
}

// run follows the stream until ctx ends.
func (f *follower) run(ctx context.Context) {
	backoff := retryReadFirst
	sleep := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	retry := func(err error) {
		if ctx.Err() != nil {
			return
		}
		f.failed(err)
		sleep(backoff/2 + rand.N(backoff))
		backoff = min(backoff*2, retryReadMost)
	}
	next := int64(-1)
	for ctx.Err() == nil {
		if next < 0 {
			recs, end, err := f.store.Newest(ctx, f.stream)
			if err != nil {
				retry(err)
				continue
			}
			next = end
			f.failed(nil)
			f.reset(recs, next)
		}
		b, err := f.store.Read(ctx, f.stream, next, readWait)
		switch {
		case errors.Is(err, metastore.ErrTrimmed):
			next = -1
			continue
		case err != nil:
			retry(err)
			continue
		}
		backoff = retryReadFirst
		f.failed(nil)
		next = b.Next
		if len(b.Records) > 0 {
			f.batch(b)
			sleep(f.pause)
		}
	}
}
