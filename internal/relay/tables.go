package relay

import (
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
)

// Delta is an encoded ownership.Delta, which turns a follower's table into that of a newer
// record of the ownership stream.
type Delta struct {
	// Key and Offset are those of the record. The key is the name of a service.
	Key    string
	Offset int64
	// Data is an encoded ownership.Delta.
	Data []byte
}

// maxTableVersions is the number of tables kept per service to compute deltas from. The
// planner records at most seven tables a second to move load between owners, and a
// follower fetches at least three times a second: one that has missed a few fetches
// still gets deltas.
const maxTableVersions = 16

// versionsByService are the last tables of the ownership stream, by service.
type versionsByService map[string]*tableVersions

// tableVersions are the last tables of one service.
type tableVersions struct {
	// versions are ordered by offset, the newest table last.
	versions []tableVersion
	// encodedDeltas caches the deltas to the newest table by the offset of the table
	// that they apply to: most followers need the same few.
	encodedDeltas map[int64][]byte
}

// tableVersion is the table of the ownership record at offset.
type tableVersion struct {
	offset int64
	table  *ownership.Table
}

// KeepTable stores the table of the ownership record at offset. Followers that have an
// earlier one then get deltas instead of full tables.
func (r *Replica) KeepTable(offset int64, t *ownership.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[metastore.StreamOwnership].keepTable(offset, t)
}

func (st *stream) keepTable(offset int64, t *ownership.Table) {
	if st.tables == nil {
		st.tables = versionsByService{}
	}
	v := st.tables[t.Service]
	if v == nil {
		v = &tableVersions{}
		st.tables[t.Service] = v
	}
	if n := len(v.versions); n > 0 && v.versions[n-1].offset >= offset {
		return
	}
	v.versions = append(v.versions, tableVersion{offset, t})
	v.versions = v.versions[max(len(v.versions)-maxTableVersions, 0):]
	v.encodedDeltas = map[int64][]byte{}
}

// ApplyTables stores tables that result from deltas, by the offsets of their records,
// and advances the ownership stream to next. It reports false, and stores nothing, if the
// stream was never read, has reached next already or is of another era.
func (r *Replica) ApplyTables(next metastore.Position, tables map[int64]*ownership.Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.streams[metastore.StreamOwnership]
	if !st.initialized || next.Era != st.next.Era || !st.next.Before(next) {
		return false
	}
	for offset, t := range tables {
		st.newest[t.Service] = metastore.Record{Key: t.Service, Offset: offset}
		st.keepTable(offset, t)
	}
	st.next = next
	st.recent = nil
	r.notify()
	return true
}

// RequestFullTables records that a delta did not apply to this host's tables: an earlier
// delta was lost, or the host read the log service in between. Until full tables arrive,
// FetchFrom returns offset -1, to which Fetch of another replica responds with full tables.
func (r *Replica) RequestFullTables() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[metastore.StreamOwnership].needsFullTables = true
}

// deltasSince returns the deltas from the tables of a follower whose next record is at
// offset to the newest tables, or nil if those of the follower are not kept.
func (st *stream) deltasSince(offset int64) []Delta {
	var out []Delta
	for key, r := range st.newest {
		if r.Offset < offset {
			continue
		}
		data := st.tables[key].deltaSince(offset, r.Offset)
		if data == nil {
			return nil
		}
		out = append(out, Delta{Key: key, Offset: r.Offset, Data: data})
	}
	return out
}

// deltaSince returns the encoded delta from the last table before nextOffset to the
// newest table, or nil if the former is not kept or the latter is not at newestOffset.
func (v *tableVersions) deltaSince(nextOffset, newestOffset int64) []byte {
	if v == nil || len(v.versions) == 0 {
		return nil
	}
	newest := v.versions[len(v.versions)-1]
	var base *tableVersion
	for i := range v.versions {
		if v.versions[i].offset < nextOffset {
			base = &v.versions[i]
		}
	}
	if base == nil || newest.offset != newestOffset {
		return nil
	}
	if data, ok := v.encodedDeltas[base.offset]; ok {
		return data
	}
	data, err := ownership.Diff(base.table, newest.table).Encode()
	if err != nil {
		return nil // the full table is sent instead
	}
	v.encodedDeltas[base.offset] = data
	return data
}

// encodeNewest sets the value of the newest records that were received as deltas.
func (st *stream) encodeNewest() {
	for key, r := range st.newest {
		v := st.tables[key]
		if r.Value != nil || v == nil || len(v.versions) == 0 || v.versions[len(v.versions)-1].offset != r.Offset {
			continue
		}
		data, err := v.versions[len(v.versions)-1].table.Encode()
		if err != nil {
			continue // followers have to get the table from the log service
		}
		r.Value = data
		st.newest[key] = r
	}
}
