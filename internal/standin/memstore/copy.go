package memstore

import (
	"maps"
	"slices"

	"github.com/papayatide/papayatide/internal/metastore"
)

// Copy is a copy of a log from which the service can return; see Log.ReturnFrom.
type Copy struct {
	streams         map[metastore.Stream]*stream
	leaseHolder     string
	leaseGeneration int64
}

// Copy returns a copy of the log and of its election.
func (l *Log) Copy() *Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Copy{streams: map[metastore.Stream]*stream{}, leaseHolder: l.leaseHolder, leaseGeneration: l.leaseGeneration}
	for name, st := range l.streams {
		c.streams[name] = st.clone()
	}
	return c
}

func (st *stream) clone() *stream {
	return &stream{records: slices.Clone(st.records), first: st.first, newestByKey: maps.Clone(st.newestByKey)}
}

// ReturnFrom replaces the log by an earlier copy: the records since are gone and their offsets
// are given out again. The era rises by one. It returns the newest records of the operators and
// the upstreams that are lost, with nil values for lost deletions; their writers write them
// again.
func (l *Log) ReturnFrom(c *Copy) map[metastore.Stream][]metastore.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := map[metastore.Stream][]metastore.Record{}
	for _, name := range []metastore.Stream{metastore.StreamOperators, metastore.StreamUpstreams} {
		lost[name] = l.stream(name).missingFrom(c.streams[name])
	}
	l.streams = map[metastore.Stream]*stream{}
	for name, st := range c.streams {
		l.streams[name] = st.clone()
	}
	l.leaseHolder, l.leaseGeneration = c.leaseHolder, c.leaseGeneration
	l.era++
	close(l.changed)
	l.changed = make(chan struct{})
	return lost
}

// missingFrom returns the newest record of each key that differs in an earlier state of the
// stream, nil if it was empty.
func (st *stream) missingFrom(earlier *stream) []metastore.Record {
	if earlier == nil {
		earlier = &stream{}
	}
	var out []metastore.Record
	for key, r := range st.newestByKey {
		if old, ok := earlier.newestByKey[key]; !ok || old.Offset != r.Offset {
			out = append(out, r)
		}
	}
	for key := range earlier.newestByKey {
		if _, ok := st.newestByKey[key]; !ok {
			out = append(out, metastore.Record{Key: key})
		}
	}
	return out
}

// Era returns how many times the log has returned from a copy, plus firstEra.
func (l *Log) Era() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}
