package relay

import (
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
)

// Change is what a record of the ownership stream differs by from the table
// that a host has.
type Change struct {
	// Key and Offset are the record's.
	Key    string
	Offset int64
	// Data is an encoded ownership.Change.
	Data []byte
}

// keptTables is how many tables of a service are kept to tell changes from. A
// host that follows asks three times a second, and a planner records seven
// tables a second at most for load.
const maxTableVersions = 16

// tablesByKey are decoded records of the ownership stream, by key.
type tablesByKey map[string]*tableVersions

// tableVersions are the last tables of one service.
type tableVersions struct {
	// byOffset is in the order of offsets.
	byOffset []tableVersion
	// encodedChanges caches the changes to the newest by the offset of their base: all
	// followers of a host ask for the same few.
	encodedChanges map[int64][]byte
}

type tableVersion struct {
	offset int64
	table  *ownership.Table
}

// KeepTable notes the table that the ownership record at offset holds. Hosts
// that follow this one are then sent changes.
func (c *Replica) KeepTable(offset int64, t *ownership.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[metastore.StreamOwnership].keepTable(offset, t)
}

func (st *stream) keepTable(offset int64, t *ownership.Table) {
	if st.tables == nil {
		st.tables = tablesByKey{}
	}
	v := st.tables[t.Service]
	if v == nil {
		v = &tableVersions{}
		st.tables[t.Service] = v
	}
	if n := len(v.byOffset); n > 0 && v.byOffset[n-1].offset >= offset {
		return
	}
	v.byOffset = append(v.byOffset, tableVersion{offset, t})
	v.byOffset = v.byOffset[max(len(v.byOffset)-maxTableVersions, 0):]
	v.encodedChanges = map[int64][]byte{}
}

// ApplyTables takes in tables that changes made, with the offsets of their
// records, up to the record before next. It reports false if the copy has got
// further in the meantime.
func (c *Replica) ApplyTables(next int64, made map[int64]*ownership.Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.streams[metastore.StreamOwnership]
	if !st.initialized || next <= st.nextOffset {
		return false
	}
	for offset, t := range made {
		st.newest[t.Service] = metastore.Record{Key: t.Service, Offset: offset}
		st.keepTable(offset, t)
	}
	st.nextOffset = next
	st.recent = nil
	c.notify()
	return true
}

// RequestFullTables notes that a change did not apply to the tables that this host
// has: a change was lost, or its own reading of the log came in between. It
// asks for whole tables until it gets them.
func (c *Replica) RequestFullTables() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[metastore.StreamOwnership].needsFullTables = true
}

// changesSince returns what turns the tables of a host that has read up to at into
// the newest, or nil if those it has are not known.
func (st *stream) changesSince(at int64) []Change {
	var out []Change
	for key, r := range st.newest {
		if r.Offset < at {
			continue
		}
		data := st.tables[key].changeSince(at, r.Offset)
		if data == nil {
			return nil
		}
		out = append(out, Change{Key: key, Offset: r.Offset, Data: data})
	}
	return out
}

// changeSince returns what turns the last table before offset at into that at
// offset to, or nil if either is not kept.
func (v *tableVersions) changeSince(at, to int64) []byte {
	if v == nil || len(v.byOffset) == 0 {
		return nil
	}
	newest := v.byOffset[len(v.byOffset)-1]
	var base *tableVersion
	for i := range v.byOffset {
		if v.byOffset[i].offset < at {
			base = &v.byOffset[i]
		}
	}
	if base == nil || newest.offset != to {
		return nil
	}
	if data, ok := v.encodedChanges[base.offset]; ok {
		return data
	}
	data, err := ownership.Diff(base.table, newest.table).Encode()
	if err != nil {
		return nil // the whole table is sent instead
	}
	v.encodedChanges[base.offset] = data
	return data
}

// encodeNewest fills in the records that came as changes.
func (st *stream) encodeNewest() {
	for key, r := range st.newest {
		v := st.tables[key]
		if r.Value != nil || v == nil || len(v.byOffset) == 0 || v.byOffset[len(v.byOffset)-1].offset != r.Offset {
			continue
		}
		data, err := v.byOffset[len(v.byOffset)-1].table.Encode()
		if err != nil {
			continue // followers read the log service themselves
		}
		r.Value = data
		st.newest[key] = r
	}
}
