package peer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/internal/valuecodec"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// minCompressedBytes is the size of a value from which on it is sent compressed.
const minCompressedBytes = 8 << 10

// maxEncodedValues bounds the cache of an encoder. Most followers need the newest value
// relative to the one before.
const maxEncodedValues = 8

// encodedKey identifies a compressed value. baseOffset is -1 without a base.
type encodedKey struct {
	stream             metastore.Stream
	key                string
	offset, baseOffset int64
}

// valueEncoder compresses values of records for followers and caches the results. Its zero
// value is ready to use, also concurrently.
type valueEncoder struct {
	mu    sync.Mutex
	cache map[encodedKey][]byte
}

// encode returns the value of r, compressed relative to base if that has a value.
func (e *valueEncoder) encode(s metastore.Stream, r, base metastore.Record) ([]byte, error) {
	k := encodedKey{s, r.Key, r.Offset, -1}
	if base.Value != nil {
		k.baseOffset = base.Offset
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if data, ok := e.cache[k]; ok {
		return data, nil
	}
	data, err := valuecodec.Encode(r.Value, base.Value)
	if err != nil {
		return nil, err
	}
	if e.cache == nil || len(e.cache) >= maxEncodedValues {
		e.cache = map[encodedKey][]byte{}
	}
	e.cache[k] = data
	return data, nil
}

// encodeBatches encodes batches for a caller of the current build.
func (e *valueEncoder) encodeBatches(batches []relay.Batch) ([]*peerpb.Batch, error) {
	var out []*peerpb.Batch
	for _, b := range batches {
		m := encodeBatch(b)
		if b.Compacted {
			m.From = &b.From
		}
		for i, r := range b.Records {
			if len(r.Value) < minCompressedBytes || b.Stream == metastore.StreamOwnership {
				continue // ownership tables are compressed already
			}
			base := b.Bases[r.Key]
			data, err := e.encode(b.Stream, r, base)
			if err != nil {
				return nil, err
			}
			m.Records[i].Value, m.Records[i].Compressed = nil, data
			if base.Value != nil {
				m.Records[i].BaseOffset = &base.Offset
			}
		}
		out = append(out, m)
	}
	return out, nil
}

// encodeForEarlierBuild encodes batches for a caller that does not understand compacted ones:
// it gets the newest record of each key instead, unless none is missing.
func encodeForEarlierBuild(ctx context.Context, replica *relay.Replica, batches []relay.Batch) []*peerpb.Batch {
	var out []*peerpb.Batch
	for _, b := range batches {
		if b.Compacted && int64(len(b.Records)) != b.Next.Offset-b.From {
			for _, reset := range replica.Fetch(ctx, map[metastore.Stream]metastore.Position{b.Stream: {Offset: -1}}, time.Nanosecond) {
				out = append(out, encodeBatch(reset))
			}
			continue
		}
		out = append(out, encodeBatch(b))
	}
	return out
}

func encodeBatch(b relay.Batch) *peerpb.Batch {
	out := &peerpb.Batch{Stream: string(b.Stream), Reset_: b.Reset, Next: b.Next.Offset, Era: &b.Next.Era}
	for _, r := range b.Records {
		out.Records = append(out.Records, &peerpb.Record{Key: r.Key, Value: r.Value, Deleted: r.Value == nil, Offset: r.Offset})
	}
	for _, d := range b.Deltas {
		out.Changes = append(out.Changes, &peerpb.Change{Key: d.Key, Offset: d.Offset, Value: d.Data})
	}
	return out
}

// decodeBatch decodes a batch of the reply to req. ok is false if the batch is relative to a
// record that this host has replaced meanwhile; it then asks again from where it is. A batch of
// an earlier build, which knows no eras, is taken for one of this host's.
func decodeBatch(m *peerpb.Batch, req FollowRequest) (b relay.Batch, ok bool, err error) {
	b = relay.Batch{Stream: metastore.Stream(m.Stream), Reset: m.Reset_, Compacted: m.From != nil, From: m.GetFrom()}
	b.Next = metastore.Position{Era: req.Positions[b.Stream].Era, Offset: m.Next}
	if m.Era != nil {
		b.Next.Era = *m.Era
	}
	for _, r := range m.Records {
		rec := metastore.Record{Key: r.Key, Value: r.Value, Offset: r.Offset}
		if len(r.Compressed) > 0 {
			var base metastore.Record
			if r.BaseOffset != nil {
				known := false
				if base, known = req.Newest(b.Stream, r.Key); !known || base.Offset != *r.BaseOffset {
					return relay.Batch{}, false, nil
				}
			}
			if rec.Value, err = valuecodec.Decode(r.Compressed, base.Value); err != nil {
				return relay.Batch{}, false, eris.Wrapf(err, "%s: record of %q at offset %d", m.Stream, r.Key, r.Offset)
			}
		}
		if r.Deleted {
			rec.Value = nil
		}
		b.Records = append(b.Records, rec)
	}
	for _, c := range m.Changes {
		b.Deltas = append(b.Deltas, relay.Delta{Key: c.Key, Offset: c.Offset, Data: c.Value})
	}
	return b, true, nil
}
