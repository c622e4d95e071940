package memstore

import (
	"bytes"
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
// are given out again. The era rises by one. Rewrite writes again what Put had written.
func (l *Log) ReturnFrom(c *Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = map[metastore.Stream]*stream{}
	for name, st := range c.streams {
		l.streams[name] = st.clone()
	}
	l.leaseHolder, l.leaseGeneration = c.leaseHolder, c.leaseGeneration
	l.era++
	close(l.changed)
	l.changed = make(chan struct{})
}

// Rewrite appends the last record that Put wrote for each key which the log lacks, as the
// operators and the upstreams do after a return.
func (l *Log) Rewrite() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, values := range l.written {
		for key, value := range values {
			if r, ok := l.stream(name).newestByKey[key]; ok != (value != nil) || !bytes.Equal(r.Value, value) {
				l.put(name, key, value)
			}
		}
	}
}

// Era returns how many times the log has returned from a copy, plus firstEra.
func (l *Log) Era() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}
