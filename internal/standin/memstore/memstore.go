// Package memstore is an in-memory stand-in for the platform's log service,
// as package metastore describes it, with the failures that the service has.
package memstore

import (
	"context"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

type stream struct {
	records     []metastore.Record
	first       int64
	newestByKey map[string]metastore.Record
}

// Log is the stand-in. Its zero value is not usable; see New.
type Log struct {
	mu      sync.Mutex
	streams map[metastore.Stream]*stream
	changed chan struct{}
	down    bool
	// calls counts calls by name.
	calls map[string]int

	leaseHolder     string
	leaseExpiresAt  time.Time
	leaseGeneration int64
}

// New returns an empty log.
func New() *Log {
	return &Log{streams: map[metastore.Stream]*stream{}, changed: make(chan struct{}), calls: map[string]int{}}
}

func (l *Log) stream(s metastore.Stream) *stream {
	st := l.streams[s]
	if st == nil {
		st = &stream{newestByKey: map[string]metastore.Record{}}
		l.streams[s] = st
	}
	return st
}

// Put appends a record as an operator or an upstream would; a nil value
// deletes the key.
func (l *Log) Put(s metastore.Stream, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.put(s, key, value)
}

func (l *Log) put(s metastore.Stream, key string, value []byte) int64 {
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
	return r.Offset + 1
}

// SetDown makes every call fail, or work again.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	close(l.changed)
	l.changed = make(chan struct{})
}

// Down reports whether every call fails.
func (l *Log) Down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// Compact drops the history of all streams; the newest of each key stays.
func (l *Log) Compact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, st := range l.streams {
		st.first += int64(len(st.records))
		st.records = nil
	}
}

// Calls returns how many calls of a name were made.
func (l *Log) Calls(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[name]
}

// joinPrice is what a join counts beside other calls.
const joinCallWeight = 0.1

// WeightedCalls returns how many calls were made, as the service counts them.
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

// beginCall counts a call and reports whether the service is up.
func (l *Log) beginCall(name string) error {
	l.calls[name]++
	if l.down {
		return metastore.ErrRejected
	}
	return nil
}

// Newest implements metastore.Store.
func (l *Log) Newest(_ context.Context, s metastore.Stream) ([]metastore.Record, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("newest"); err != nil {
		return nil, 0, err
	}
	st := l.stream(s)
	var out []metastore.Record
	for _, r := range st.newestByKey {
		out = append(out, r)
	}
	return out, st.first + int64(len(st.records)), nil
}

// Read implements metastore.Store.
func (l *Log) Read(ctx context.Context, s metastore.Stream, from int64, wait time.Duration) (metastore.Batch, error) {
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
		end := st.first + int64(len(st.records))
		if from < st.first {
			l.mu.Unlock()
			return metastore.Batch{}, metastore.ErrTrimmed
		}
		if from < end {
			recs := append([]metastore.Record(nil), st.records[from-st.first:]...)
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
			return metastore.Batch{}, metastore.ErrNoAnswer
		}
		l.mu.Lock()
	}
}

// AppendAt implements metastore.Store.
func (l *Log) AppendAt(_ context.Context, s metastore.Stream, key string, value []byte, at int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("append"); err != nil {
		return 0, err
	}
	if st := l.stream(s); st.first+int64(len(st.records)) != at {
		return 0, metastore.ErrConflict
	}
	return l.put(s, key, value), nil
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
func (l *Log) JoinElection(_ context.Context, member string, ttl time.Duration, _ int64) (metastore.Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("join"); err != nil {
		return metastore.Lease{}, err
	}
	if l.leaseHolder == "" || time.Now().After(l.leaseExpiresAt) {
		l.leaseHolder = member
		l.leaseGeneration++
	}
	if l.leaseHolder == member {
		l.leaseExpiresAt = time.Now().Add(ttl)
	}
	return metastore.Lease{Generation: l.leaseGeneration, Held: l.leaseHolder == member}, nil
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

// LeaseHolder returns the member that holds the seat.
func (l *Log) LeaseHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseHolder
}
