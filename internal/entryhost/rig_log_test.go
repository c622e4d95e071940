package entryhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/standin/memstore"
)

// lostStore is one host's way to the log service, which may be lost.
type lostStore struct {
	*memstore.Log
	lost atomic.Bool
}

func (s *lostStore) Newest(ctx context.Context, st metastore.Stream) ([]metastore.Record, int64, error) {
	if s.lost.Load() {
		return nil, 0, metastore.ErrNoAnswer
	}
	return s.Log.Newest(ctx, st)
}

func (s *lostStore) Read(ctx context.Context, st metastore.Stream, from int64, wait time.Duration) (metastore.Batch, error) {
	if s.lost.Load() {
		return metastore.Batch{}, metastore.ErrNoAnswer
	}
	return s.Log.Read(ctx, st, from, wait)
}

func (s *lostStore) AppendAt(ctx context.Context, st metastore.Stream, key string, value []byte, at int64) (int64, error) {
	if s.lost.Load() {
		return 0, metastore.ErrNoAnswer
	}
	return s.Log.AppendAt(ctx, st, key, value, at)
}

func (s *lostStore) Join(ctx context.Context, member string, ttl time.Duration, generation int64) (metastore.Seat, error) {
	if s.lost.Load() {
		return metastore.Seat{}, metastore.ErrNoAnswer
	}
	return s.Log.Join(ctx, member, ttl, generation)
}
