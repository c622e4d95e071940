// Package memstore is an in-memory metastore.Store, a stand-in for the log service that
// `papayatided entry` uses; package platform/standin serves it over HTTP. Tests can make
// it unavailable and have it drop its history, as the service does. Package logsvc is the
// stand-in for the log service of deployments with published manifests.
package memstore

import (
	"context"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

// stream is a stream's history from offset first on, and the newest record of each
// key that was not deleted.
type stream struct {
	records     []metastore.Record
	first       int64
	newestByKey map[string]metastore.Record
}

// Log is an in-memory metastore.Store. Create it with New.
type Log struct {
	mu      sync.Mutex
	streams map[metastore.Stream]*stream
	// written holds the last value that Put wrote for each key, nil if it deleted the key.
	written map[metastore.Stream]map[string][]byte
	// era numbers the histories of the log; see ReturnFrom.
	era int64
	// changed is closed and replaced on every append, SetDown and ReturnFrom, to wake
	// waiting reads.
	changed chan struct{}
	down    bool
	// calls counts calls by name: newest, read, append, join and leave.
	calls map[string]int

	// The planner lease: its holder, or "" if it was given up; its expiry; and
	// how many times it was acquired.
	leaseHolder     string
	leaseExpiresAt  time.Time
	leaseGeneration int64
}

// firstEra is the era of a new log. The service may begin with any number.
const firstEra = 41

// New returns an empty log.
func New() *Log {
	return &Log{era: firstEra, written: map[metastore.Stream]map[string][]byte{}, streams: map[metastore.Stream]*stream{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// stream returns a stream and creates it on first use. l.mu must be locked.
func (l *Log) stream(s metastore.Stream) *stream {
	st := l.streams[s]
	if st == nil {
		st = &stream{newestByKey: map[string]metastore.Record{}}
		l.streams[s] = st
	}
	return st
}

// Put appends a record on behalf of an operator or an upstream. A nil value deletes
// the key. Put is not counted as a call and works while the service is down.
func (l *Log) Put(s metastore.Stream, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written[s] == nil {
		l.written[s] = map[string][]byte{}
	}
	l.written[s][key] = value
	l.put(s, key, value)
}

// PutLate carries out a write of an operator or an upstream that got no response when it was sent.
// Unlike after Put, its writer does not know that it was carried out.
func (l *Log) PutLate(s metastore.Stream, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.put(s, key, value)
}

// put appends a record. l.mu must be locked.
func (l *Log) put(s metastore.Stream, key string, value []byte) {
	st := l.stream(s)
	r := metastore.Record{Key: key, Value: value, Offset: st.first + int64(len(st.records))}
	st.records = append(st.records, r)
	if value == nil {
		delete(st.newestByKey, key)
	} else {
		st.newestByKey[key] = r
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetDown sets whether the service is down: every call then fails with
// metastore.ErrRejected, as if the service responded with status 503.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	close(l.changed)
	l.changed = make(chan struct{})
}

// Down reports whether SetDown makes every call fail.
func (l *Log) Down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// Compact drops the history of all streams and keeps the newest record of each key.
func (l *Log) Compact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, st := range l.streams {
		st.first += int64(len(st.records))
		st.records = nil
	}
}

// Calls returns how many calls of one name were made, failed ones included.
func (l *Log) Calls(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[name]
}

// joinCallWeight is the weight of a join in the service's load, relative to any other
// call: the log service counts a join as a tenth of a call.
const joinCallWeight = 0.1

// WeightedCalls returns the load on the service: the number of calls made, with joins
// weighted by joinCallWeight. Failed calls are included.
func (l *Log) WeightedCalls() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0.0
	for name, n := range l.calls {
		if name == "join" {
			sum += joinCallWeight * float64(n)
			continue
		}
		sum += float64(n)
	}
	return sum
}

// beginCall counts a call. It returns metastore.ErrRejected while the service is
// down.
func (l *Log) beginCall(name string) error {
	l.calls[name]++
	if l.down {
		return metastore.ErrRejected
	}
	return nil
}

// Newest implements metastore.Store.
func (l *Log) Newest(_ context.Context, s metastore.Stream) ([]metastore.Record, metastore.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("newest"); err != nil {
		return nil, metastore.Position{}, err
	}
	st := l.stream(s)
	var out []metastore.Record
	for _, r := range st.newestByKey {
		out = append(out, r)
	}
	return out, l.endOf(st), nil
}

// endOf returns the position of a stream's end. l.mu must be locked.
func (l *Log) endOf(st *stream) metastore.Position {
	return metastore.Position{Era: l.era, Offset: st.first + int64(len(st.records))}
}

// Read implements metastore.Store.
func (l *Log) Read(ctx context.Context, s metastore.Stream, from metastore.Position, wait time.Duration) (metastore.Batch, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	l.mu.Lock()
	err := l.beginCall("read")
	for {
		if err != nil || l.down {
			l.mu.Unlock()
			return metastore.Batch{}, metastore.ErrRejected
		}
		st := l.stream(s)
		end := l.endOf(st)
		if from.Offset < st.first || from.Offset > end.Offset {
			l.mu.Unlock()
			return metastore.Batch{}, metastore.ErrTrimmed
		}
		if from.Era != l.era {
			l.mu.Unlock()
			return metastore.Batch{}, metastore.ErrEraChanged
		}
		if from.Before(end) {
			recs := append([]metastore.Record(nil), st.records[from.Offset-st.first:]...)
			l.mu.Unlock()
			return metastore.Batch{Records: recs, Next: end, End: end}, nil
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-t.C:
			return metastore.Batch{Next: from, End: end}, nil
		case <-ctx.Done():
			return metastore.Batch{}, metastore.ErrNoResponse
		}
		l.mu.Lock()
	}
}

// AppendAt implements metastore.Store.
func (l *Log) AppendAt(_ context.Context, s metastore.Stream, key string, value []byte, at metastore.Position) (metastore.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("append"); err != nil {
		return metastore.Position{}, err
	}
	if l.endOf(l.stream(s)).Offset != at.Offset {
		return metastore.Position{}, metastore.ErrConflict
	}
	l.put(s, key, value)
	if at.Era != l.era { // the service knows only the offset
		return metastore.Position{}, metastore.ErrEraChanged
	}
	return l.endOf(l.stream(s)), nil
}

// Append implements metastore.Store.
func (l *Log) Append(_ context.Context, s metastore.Stream, recs []metastore.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("append"); err != nil {
		return err
	}
	for _, r := range recs {
		l.put(s, r.Key, r.Value)
	}
	return nil
}

// JoinElection implements metastore.Store.
func (l *Log) JoinElection(_ context.Context, member string, ttl time.Duration, _ int64) (metastore.JoinResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("join"); err != nil {
		return metastore.JoinResult{}, err
	}
	if l.leaseHolder == "" || time.Now().After(l.leaseExpiresAt) {
		l.leaseHolder = member
		l.leaseGeneration++
	}
	if l.leaseHolder == member {
		l.leaseExpiresAt = time.Now().Add(ttl)
	}
	return metastore.JoinResult{Generation: l.leaseGeneration, Held: l.leaseHolder == member, Era: l.era}, nil
}

// LeaveElection implements metastore.Store.
func (l *Log) LeaveElection(_ context.Context, member string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("leave"); err != nil {
		return err
	}
	if l.leaseHolder == member {
		l.leaseHolder = ""
	}
	return nil
}

// LeaseHolder returns the member that last acquired the planner lease, or "" if it
// gave the lease up. The lease may have expired.
func (l *Log) LeaseHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseHolder
}
