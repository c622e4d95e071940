package metastore

import (
	"context"
	"errors"
	"time"
)

// Stream names one of the log's streams that papayatide reads.
type Stream string

// The streams. Operators write the first, upstreams the second, only
// papayatide's planner the third, and each of its hosts the fourth: servers'
// ends under requests, see package crashes.
const (
	StreamDesired   Stream = "desired"
	StreamUpstreams Stream = "upstreams"
	StreamOwnership Stream = "ownership"
	StreamCrashes   Stream = "crashes"
)

var (
	// ErrConflict means the stream did not end where an append expected:
	// someone else appended and nothing was written.
	ErrConflict = errors.New("stream moved on")
	// ErrRejected means the service answered that it did nothing: it is
	// busy, over its rate limit or failing for this host.
	ErrRejected = errors.New("log service refused the call")
	// ErrNoAnswer means a call got no answer. A write may still take
	// effect, even seconds later.
	ErrNoAnswer = errors.New("no answer from the log service")
	// ErrTrimmed means the records asked for are no longer kept; read the
	// newest of each key instead.
	ErrTrimmed = errors.New("records are no longer kept")
)

// MaxKey is the longest key of a record, in bytes.
const MaxKey = 255

// Record is one keyed record.
type Record struct {
	// Key has up to MaxKey bytes.
	Key string
	// Value is nil where the key was deleted.
	Value []byte
	// Offset is the record's place in its stream.
	Offset int64
}

// Batch is what one read returned.
type Batch struct {
	Records []Record
	// Next is the offset to read from next.
	Next int64
	// End is the stream's end when the read was answered.
	End int64
}

// Lease is the answer to a Join.
type Lease struct {
	// Generation is passed to the next Join.
	Generation int64
	// Held says whether this member holds the planner's seat.
	Held bool
}

// Store is the log service as papayatide uses it. Errors wrap one of the
// sentinel errors above and name the call.
type Store interface {
	// Newest returns the newest record of every key of the stream and the
	// offset from which to go on reading.
	Newest(ctx context.Context, s Stream) ([]Record, int64, error)
	// Read returns records from offset from on. It waits up to wait for
	// one to arrive and then returns an empty batch.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Batch, error)
	// AppendAt appends one record if the stream ends at offset at, and
	// returns the stream's new end.
	AppendAt(ctx context.Context, s Stream, key string, value []byte, at int64) (int64, error)
	// Append appends records, all or none, wherever the stream ends. A nil
	// value deletes its key; offsets are ignored.
	Append(ctx context.Context, s Stream, recs []Record) error
	// JoinElection takes part in the election of the planner, or stays in it. A
	// member that has not joined for ttl loses its seat.
	JoinElection(ctx context.Context, member string, ttl time.Duration, generation int64) (Lease, error)
	// LeaveElection gives the seat up at once.
	LeaveElection(ctx context.Context, member string) error
}
