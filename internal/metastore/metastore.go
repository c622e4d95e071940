package metastore

import (
	"context"
	"errors"
	"time"
)

// Stream names one of the log's streams that papayatide reads.
type Stream string

const (
	// StreamOperators is the operators' stream. It holds the desired state and the
	// evacuations of data centres.
	StreamOperators Stream = "desired"
	// StreamUpstreams is written by upstreams.
	StreamUpstreams Stream = "upstreams"
	// StreamOwnership is written by the planner only.
	StreamOwnership Stream = "ownership"
	// StreamCrashes is written by every host: servers that crashed while they
	// ran a request; see package crashes.
	StreamCrashes Stream = "crashes"
)

var (
	// ErrConflict means that nothing was appended, because the stream did not
	// end at the expected offset: another writer has appended records.
	ErrConflict = errors.New("stream does not end at the expected offset")
	// ErrRejected means that the service responded and did nothing: it is
	// overloaded, over its rate limit or failing for this host.
	ErrRejected = errors.New("log service rejected the call")
	// ErrNoResponse means that a call got no complete, valid response. A write may
	// still take effect, even seconds later.
	ErrNoResponse = errors.New("no valid response from the log service")
	// ErrTrimmed means that the requested records are no longer retained. Read
	// the newest record of each key instead.
	ErrTrimmed = errors.New("requested records are no longer retained")
	// ErrEraChanged means that the log has another history than that of the given position: the
	// service has returned from an older copy. Read the newest record of each key instead. A
	// record of an append may have been appended to the new history.
	ErrEraChanged = errors.New("log has returned from an older copy")
)

// Position is a place in a stream. When the log service returns from an older copy, the records
// since are gone and their offsets are given out again: the era rises, and offsets of
// different eras have nothing to do with each other.
type Position struct {
	// Era numbers the histories of the log; 0 if the service does not state it.
	Era int64
	// Offset is that of the record at the position, or the stream's end.
	Offset int64
}

// Before reports whether p comes before q: in an earlier era, or at a lower offset of the same.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || (p.Era == q.Era && p.Offset < q.Offset)
}

// MaxKey is the maximum length of a record's key in bytes.
const MaxKey = 255

// Record is one keyed record.
type Record struct {
	// Key has up to MaxKey bytes.
	Key string
	// Value is nil if the key was deleted.
	Value []byte
	// Offset is the record's position in its stream.
	Offset int64
}

// Batch is the result of one read.
type Batch struct {
	Records []Record
	// Next is where the next read starts.
	Next Position
	// End is the stream's end at the time of the read.
	End Position
}

// JoinResult is the result of JoinElection, also for a member that does not hold the
// planner lease.
type JoinResult struct {
	// Generation is the consumer group's generation. Pass it to the member's
	// next call of JoinElection, and 0 to the first.
	Generation int64
	// Held reports whether this member holds the planner lease.
	Held bool
	// Era is that of the election.
	Era int64
}

// Store is a client of the log service. Errors of its calls name the call and wrap
// one of the errors above.
type Store interface {
	// Newest returns the newest record of every key of the stream, and the
	// position at which to continue with Read.
	Newest(ctx context.Context, s Stream) ([]Record, Position, error)
	// Read returns records starting at from. If there are none, it waits up to wait
	// for one, then returns an empty batch.
	Read(ctx context.Context, s Stream, from Position, wait time.Duration) (Batch, error)
	// AppendAt appends one record if the stream ends at the given position, and returns
	// the stream's new end. Otherwise it fails with ErrConflict. ErrEraChanged does not
	// tell whether the record was appended.
	AppendAt(ctx context.Context, s Stream, key string, value []byte, at Position) (Position, error)
	// Append appends all records or none, at whatever offset the stream ends. A
	// nil value deletes its key; the records' offsets are ignored.
	Append(ctx context.Context, s Stream, recs []Record) error
	// JoinElection enters or stays in the election of the planner. A member that
	// does not call it again within ttl loses its lease.
	JoinElection(ctx context.Context, member string, ttl time.Duration, generation int64) (JoinResult, error)
	// Era returns the highest era that the service has stated; 0 if none.
	Era() int64
	// LeaveElection leaves the election and gives up the lease immediately.
	LeaveElection(ctx context.Context, member string) error
}
