package entryhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/standin/memstore"
)

// storeLatency is how long the log service takes to return the newest records.
const storeLatency = 4 * time.Millisecond

// partitionedStore is one host's connection to the log service. While partitioned
// is set, reads, AppendAt and JoinElection fail.
type partitionedStore struct {
	*memstore.Log
	partitioned atomic.Bool
}

func (s *partitionedStore) Newest(ctx context.Context, st metastore.Stream) ([]metastore.Record, metastore.Position, error) {
	if s.partitioned.Load() {
		return nil, metastore.Position{}, metastore.ErrNoResponse
	}
	time.Sleep(storeLatency)
	return s.Log.Newest(ctx, st)
}

func (s *partitionedStore) Read(ctx context.Context, st metastore.Stream, from metastore.Position, wait time.Duration) (metastore.Batch, error) {
	if s.partitioned.Load() {
		return metastore.Batch{}, metastore.ErrNoResponse
	}
	return s.Log.Read(ctx, st, from, wait)
}

func (s *partitionedStore) AppendAt(ctx context.Context, st metastore.Stream, key string, value []byte, at metastore.Position) (metastore.Position, error) {
	if s.partitioned.Load() {
		return metastore.Position{}, metastore.ErrNoResponse
	}
	return s.Log.AppendAt(ctx, st, key, value, at)
}

func (s *partitionedStore) JoinElection(ctx context.Context, member string, ttl time.Duration, generation int64) (metastore.JoinResult, error) {
	if s.partitioned.Load() {
		return metastore.JoinResult{}, metastore.ErrNoResponse
	}
	return s.Log.JoinElection(ctx, member, ttl, generation)
}
