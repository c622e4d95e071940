// Package relay keeps a copy of the log's streams for other hosts to read.
//
// The log service's calls are priced and limited, and every host reads the
// same records. The planner therefore reads them for all: the others follow
// its copy, which costs the service as many calls for a hundred hosts as for
// one. A copy says how old it is; a host for which it is too old reads the
// log service itself.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

// Batch is what a host needs to bring its copy of a stream up to date.
type Batch struct {
	Stream metastore.Stream
	// Reset means that Records are the newest of each key and replace what
	// was read before.
	Reset   bool
	Records []metastore.Record
	// Changes stand in place of records of the ownership stream for a host
	// that has the tables they were made from.
	Changes    []Change
	NextOffset int64
}

// kept is how many records of a stream are kept for hosts that are behind;
// those further behind get the newest of each key.
const maxRecentRecords = 512

// Streams are the streams that are relayed.
var Streams = []metastore.Stream{metastore.StreamDesired, metastore.StreamUpstreams, metastore.StreamOwnership, metastore.StreamCrashes}

type stream struct {
	initialized bool
	nextOffset  int64
	newest      map[string]metastore.Record
	recent      []metastore.Record
	// tables are the decoded records of the ownership stream.
	tables tablesByKey
	// needsFullTables is set while a change did not apply to what this host has.
	needsFullTables bool
	// currentAt is when the log service last said that next is its end.
	currentAt time.Time
}

// Replica is a copy of the streams. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	streams map[metastore.Stream]*stream
	changed chan struct{}
	// logFailedAt is when the log service last failed this host.
	logFailedAt time.Time
}

// NewReplica returns an empty copy. Nothing is known of the log service before.
func NewReplica() *Replica {
	c := &Replica{streams: map[metastore.Stream]*stream{}, changed: make(chan struct{}), logFailedAt: time.Now()}
	for _, s := range Streams {
		c.streams[s] = &stream{nextOffset: -1, newest: map[string]metastore.Record{}}
	}
	return c
}

// NextOffset returns the offset of the record of s to be read next; -1 if nothing
// was read yet.
func (c *Replica) NextOffset(s metastore.Stream) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[s].nextOffset
}

// FetchOffset is Next as it is told to the host that is followed: -1 if this one
// wants everything whole.
func (c *Replica) FetchOffset(s metastore.Stream) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[s].needsFullTables {
		return -1
	}
	return c.streams[s].nextOffset
}

// Apply takes a batch in and returns the part of it that is new, or nil. A
// batch that does not join on to what was read is dropped: it will be read
// again from the right place.
func (c *Replica) Apply(b Batch) *Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.streams[b.Stream]
	if b.Reset {
		if st.initialized && b.NextOffset < st.nextOffset {
			return nil
		}
		st.reset(b)
		c.notify()
		return &b
	}
	fresh := b.Records
	for len(fresh) > 0 && fresh[0].Offset < st.nextOffset {
		fresh = fresh[1:]
	}
	if !st.initialized || len(fresh) == 0 || fresh[0].Offset != st.nextOffset {
		return nil
	}
	st.add(fresh)
	if b.Stream == metastore.StreamOwnership {
		st.recent = nil // only the newest is of use
	}
	c.notify()
	return &Batch{Stream: b.Stream, Records: fresh, NextOffset: st.nextOffset}
}

func (st *stream) reset(b Batch) {
	st.initialized, st.needsFullTables = true, false
	st.nextOffset = b.NextOffset
	st.recent = nil
	clear(st.newest)
	for _, r := range b.Records {
		st.newest[r.Key] = r
	}
}

func (st *stream) add(recs []metastore.Record) {
	for _, r := range recs {
		if r.Value == nil {
			delete(st.newest, r.Key)
		} else {
			st.newest[r.Key] = r
		}
		st.nextOffset = r.Offset + 1
	}
	st.recent = append(st.recent, recs...)
	if n := len(st.recent) - maxRecentRecords; n > 0 {
		st.recent = append([]metastore.Record(nil), st.recent[n:]...)
	}
}

func (c *Replica) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// MarkCurrent notes that the copy of s was the log's at the time.
func (c *Replica) MarkCurrent(s metastore.Stream, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st := c.streams[s]; at.After(st.currentAt) {
		st.currentAt = at
	}
}

// Age returns how long ago the copy was last known to be the log's, of the
// older of the streams that others write. The ownership stream is written by
// the planner itself.
func (c *Replica) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := time.Duration(0)
	for _, s := range []metastore.Stream{metastore.StreamDesired, metastore.StreamUpstreams} {
		oldest = max(oldest, now.Sub(c.streams[s].currentAt))
	}
	return oldest
}

// CurrentAt returns when the copy of s was last known to be the log's.
func (c *Replica) CurrentAt(s metastore.Stream) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[s].currentAt
}

// RecordLogFailure notes that the log service failed this host at the time.
func (c *Replica) RecordLogFailure(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logFailedAt = at
}

// LogReachableFor returns for how long the log service has not failed this host.
func (c *Replica) LogReachableFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.logFailedAt)
}

// Fetch returns what a host at the given positions lacks. It waits up to
// wait for something.
func (c *Replica) Fetch(ctx context.Context, positions map[metastore.Stream]int64, wait time.Duration) []Batch {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		out, changed := c.missing(positions)
		if len(out) > 0 {
			return out
		}
		select {
		case <-changed:
		case <-t.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Replica) missing(positions map[metastore.Stream]int64) ([]Batch, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Batch
	for _, s := range Streams {
		st := c.streams[s]
		at, asked := positions[s]
		if asked && st.initialized && at < st.nextOffset {
			out = append(out, st.since(s, at))
		}
	}
	return out, c.changed
}

// since returns the records from offset at on, or the newest of each key if
// those are no longer all kept. Of the ownership stream only the newest is of
// use, and each holds a whole table, so that what changed in it is returned
// where its host's table is known.
func (st *stream) since(s metastore.Stream, at int64) Batch {
	b := Batch{Stream: s, NextOffset: st.nextOffset}
	if s == metastore.StreamOwnership {
		if b.Changes = st.changesSince(at); b.Changes != nil {
			return b
		}
		st.encodeNewest()
	}
	first := st.nextOffset - int64(len(st.recent))
	if at >= first && at >= 0 && s != metastore.StreamOwnership {
		b.Records = append(b.Records, st.recent[at-first:]...)
		return b
	}
	b.Reset = true
	for _, r := range st.newest {
		b.Records = append(b.Records, r)
	}
	return b
}
