// Package relay keeps a replica of the log's streams for other hosts to read.
//
// Calls to the log service cost money and are limited, and every host reads the
// same records. The planner therefore reads them for all hosts: the others fetch
// from its replica, or from that of a relay, so that the number of calls to the
// log service doesn't grow with the number of hosts. A host that fetches from
// another is its follower. A replica reports its age; a host for which it is too
// old reads the log service itself.
package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

// Batch brings a replica of a stream up to date.
type Batch struct {
	Stream metastore.Stream
	// Reset means that Records are the newest of each key and replace all records
	// read before.
	Reset   bool
	Records []metastore.Record
	// Compacted means that Records lacks those from offset From on that a later one of the same
	// key replaces. Without it they have consecutive offsets.
	Compacted bool
	From      int64
	// Bases holds earlier records of some keys of Records, which every replica that has been
	// read up to From has as the newest of their keys.
	Bases map[string]metastore.Record
	// Deltas replace Records in the ownership stream for a follower that has the
	// tables to which they apply.
	Deltas []Delta
	// Next is the position after the batch. All of the batch is of its era.
	Next metastore.Position
	// NewEra is set in the batches that Apply returns if a reset has replaced records of an
	// earlier era.
	NewEra bool
}

// start returns the offset from which the batch continues a replica.
func (b *Batch) start() int64 {
	switch {
	case b.Compacted:
		return b.From
	case len(b.Records) > 0:
		return b.Records[0].Offset
	}
	return b.Next.Offset
}

// maxRecentRecords is the number of records kept per stream for followers that are
// behind; a follower that is further behind gets the newest record of each key.
const maxRecentRecords = 512

// minBaseBytes is the size of a value from which on the previous record of its key is kept, to
// send the value relative to it.
const minBaseBytes = 8 << 10

// Streams are the streams that a replica keeps.
var Streams = []metastore.Stream{metastore.StreamOperators, metastore.StreamUpstreams, metastore.StreamOwnership, metastore.StreamCrashes}

// stream is the replica of one stream.
type stream struct {
	// initialized is set once the stream was read as a whole.
	initialized bool
	// next is the position of the record to be read next.
	next metastore.Position
	// newest are the newest records by key.
	newest map[string]metastore.Record
	// recent are the records from offset recentFrom up to next that are still the newest
	// of their key.
	recent     []metastore.Record
	recentFrom int64
	// previous holds the records of large values before the newest ones, by key.
	previous map[string]metastore.Record
	// tables are the last tables of the ownership stream.
	tables versionsByService
	// needsFullTables is set after a delta didn't apply to this host's tables.
	needsFullTables bool
	// currentAt is when the replica of the stream was last known to be up to date.
	currentAt time.Time
}

// Replica is a replica of the streams. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	streams map[metastore.Stream]*stream
	// updated is closed, and replaced, when a stream changes.
	updated chan struct{}
	// logFailedAt is the time that RecordLogFailure recorded last, or else when the
	// replica was created.
	logFailedAt time.Time
}

// unread is the position of a stream of which nothing was read.
var unread = metastore.Position{Offset: -1}

// NewReplica returns an empty replica. LogReachableFor starts at zero.
func NewReplica() *Replica {
	r := &Replica{streams: map[metastore.Stream]*stream{}, updated: make(chan struct{}), logFailedAt: time.Now()}
	for _, s := range Streams {
		r.streams[s] = &stream{next: unread, newest: map[string]metastore.Record{}, previous: map[string]metastore.Record{}}
	}
	return r
}

// Next returns the position of the record of s to be read next; its offset is -1 if
// nothing was read yet.
func (r *Replica) Next(s metastore.Stream) metastore.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams[s].next
}

// FetchFrom returns the position from which to fetch s from another replica: Next, or one
// with offset -1 for the full tables of the ownership stream if this host needs them.
func (r *Replica) FetchFrom(s metastore.Stream) metastore.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams[s].needsFullTables {
		return unread
	}
	return r.streams[s].next
}

// Apply applies a batch and returns the part of it that is new, or nil. A batch that
// does not continue the replica is dropped: its records are fetched again from the
// right position. A reset of a later era replaces records of any offset.
func (r *Replica) Apply(b Batch) *Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.streams[b.Stream]
	if b.Reset {
		if st.initialized && b.Next.Before(st.next) {
			return nil
		}
		b.NewEra = st.initialized && b.Next.Era > st.next.Era
		st.reset(b)
		r.notify()
		return &b
	}
	if !st.initialized || b.Next.Era != st.next.Era || b.start() > st.next.Offset || !st.next.Before(b.Next) {
		return nil
	}
	added := recordsFrom(b.Records, st.next.Offset)
	st.add(added, b.Stream == metastore.StreamUpstreams)
	st.next = b.Next
	if b.Stream == metastore.StreamOwnership {
		st.recent = nil // only the newest tables are sent
	}
	r.notify()
	return &Batch{Stream: b.Stream, Records: added, Next: st.next}
}

// reset replaces the stream with a batch of the newest records.
func (st *stream) reset(b Batch) {
	if b.Next.Era != st.next.Era {
		st.tables = nil // they are kept by offset
	}
	st.initialized, st.needsFullTables = true, false
	st.next, st.recentFrom = b.Next, b.Next.Offset
	st.recent = nil
	clear(st.previous)
	clear(st.newest)
	for _, r := range b.Records {
		st.newest[r.Key] = r
	}
}

// add appends records that continue the stream. Only the newest record of a key stays among the recent
// ones, and with ordered small older ones: followers need them to tell a late write from a new one.
func (st *stream) add(recs []metastore.Record, ordered bool) {
	replaced := map[string]bool{}
	for _, r := range recs {
		replaced[r.Key] = true
		if old, ok := st.newest[r.Key]; ok && len(old.Value) >= minBaseBytes {
			st.previous[r.Key] = old
		}
		if r.Value == nil {
			delete(st.newest, r.Key)
		} else {
			st.newest[r.Key] = r
		}
	}
	// Without this, the last versions of a desired state of a megabyte would take half a gigabyte.
	isDropped := func(r metastore.Record) bool { return !ordered || len(r.Value) >= minBaseBytes }
	st.recent = slices.DeleteFunc(st.recent, func(r metastore.Record) bool { return replaced[r.Key] && isDropped(r) })
	st.recent = append(st.recent, newestOfEachKey(recs, isDropped)...)
	if n := len(st.recent) - maxRecentRecords; n > 0 {
		st.recentFrom = st.recent[n-1].Offset + 1
		st.recent = append([]metastore.Record(nil), st.recent[n:]...)
	}
}

// newestOfEachKey returns the records that no later one of the same key replaces, and those that are
// not dropped although one does.
func newestOfEachKey(recs []metastore.Record, isDropped func(metastore.Record) bool) []metastore.Record {
	last := map[string]int{}
	for i, r := range recs {
		last[r.Key] = i
	}
	var out []metastore.Record
	for i, r := range recs {
		if last[r.Key] == i || !isDropped(r) {
			out = append(out, r)
		}
	}
	return out
}

// recordsFrom returns the records at offset from and later ones.
func recordsFrom(recs []metastore.Record, from int64) []metastore.Record {
	i, _ := slices.BinarySearchFunc(recs, from, func(r metastore.Record, from int64) int { return cmp.Compare(r.Offset, from) })
	return recs[i:]
}

// SetNewest replaces the newest record of a key, which the log has in an older version or not at
// all, for followers that have not read the one that it replaces.
func (r *Replica) SetNewest(s metastore.Stream, key string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.streams[s]
	rec, ok := st.newest[key]
	if !ok {
		rec = metastore.Record{Key: key, Offset: st.next.Offset - 1}
	}
	rec.Value = value
	st.newest[key] = rec
	if s == metastore.StreamUpstreams {
		return // the recent records show their order
	}
	for i := range st.recent {
		if st.recent[i].Key == key {
			st.recent[i].Value = value
		}
	}
}

// Newest returns the newest record of a key; false if there is none.
func (r *Replica) Newest(s metastore.Stream, key string) (metastore.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.streams[s].newest[key]
	return rec, ok
}

// notify wakes the calls of Fetch that wait for an update.
func (r *Replica) notify() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// MarkCurrent records that the stream s ended at the given position at the given time, and
// reports whether the replica has been read that far. If not, it was not up to date then.
func (r *Replica) MarkCurrent(s metastore.Stream, end metastore.Position, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.streams[s]
	if !st.initialized || st.next.Before(end) {
		return false
	}
	if at.After(st.currentAt) {
		st.currentAt = at
	}
	return true
}

// Positions returns Next of each stream.
func (r *Replica) Positions() map[metastore.Stream]metastore.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[metastore.Stream]metastore.Position{}
	for s, st := range r.streams {
		out[s] = st.next
	}
	return out
}

// Age returns the time since the operators and upstreams streams were both last known
// to be up to date: the age of the older one. The ownership stream does not count,
// because the planner writes it itself, and neither does the crash stream.
func (r *Replica) Age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	maxAge := time.Duration(0)
	for _, s := range []metastore.Stream{metastore.StreamOperators, metastore.StreamUpstreams} {
		maxAge = max(maxAge, now.Sub(r.streams[s].currentAt))
	}
	return maxAge
}

// CurrentAt returns when the replica of s was last known to be up to date.
func (r *Replica) CurrentAt(s metastore.Stream) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams[s].currentAt
}

// RecordLogFailure records that a call of this host to the log service failed at the
// given time, or that the host was stalled until then and doesn't know whether a call
// would have failed.
func (r *Replica) RecordLogFailure(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logFailedAt = at
}

// LogReachableFor returns the time since the last failure that RecordLogFailure has
// recorded, or since the replica was created if there was none. Only on a host that
// calls the log service all the time does it mean that the service is reachable.
func (r *Replica) LogReachableFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.logFailedAt)
}

// Fetch returns the batches that a follower lacks. The positions are its FetchFrom for
// each stream. If nothing is missing, Fetch waits up to wait for the next update.
func (r *Replica) Fetch(ctx context.Context, positions map[metastore.Stream]metastore.Position, wait time.Duration) []Batch {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		out, updated := r.missing(positions)
		if len(out) > 0 {
			return out
		}
		select {
		case <-updated:
		case <-t.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// missing returns the batches that a follower at the given positions lacks, and the
// channel that is closed at the next update.
func (r *Replica) missing(positions map[metastore.Stream]metastore.Position) ([]Batch, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Batch
	for _, s := range Streams {
		st := r.streams[s]
		position, requested := positions[s]
		if requested && st.initialized && position.Before(st.next) {
			out = append(out, st.since(s, position))
		}
	}
	return out, r.updated
}

// basesOf returns the earlier records, below offset, of the keys of recs.
func (st *stream) basesOf(recs []metastore.Record, offset int64) map[string]metastore.Record {
	bases := map[string]metastore.Record{}
	for _, r := range recs {
		if base, ok := st.previous[r.Key]; ok && base.Offset < offset {
			bases[r.Key] = base
		}
	}
	return bases
}

// since returns the records from the given position on, or the newest of each key if not all of
// them are kept any more or the position is of an earlier era. An ownership record holds a full table and only the newest of a key
// is needed, so for that stream it returns the deltas from the follower's tables, if those
// are known, or else the newest records.
func (st *stream) since(s metastore.Stream, position metastore.Position) Batch {
	b := Batch{Stream: s, Next: st.next}
	offset := position.Offset
	if position.Era != st.next.Era {
		offset = unread.Offset
	}
	if s == metastore.StreamOwnership {
		if b.Deltas = st.deltasSince(offset); b.Deltas != nil {
			return b
		}
		st.encodeNewest()
	}
	if offset >= st.recentFrom && s != metastore.StreamOwnership {
		b.Records = slices.Clone(recordsFrom(st.recent, offset))
		b.Compacted, b.From, b.Bases = true, offset, st.basesOf(b.Records, offset)
		return b
	}
	b.Reset = true
	for _, r := range st.newest {
		b.Records = append(b.Records, r)
	}
	return b
}
