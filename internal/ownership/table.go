package ownership

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// KeySpaceSize is the number of keys: keys are 0 to KeySpaceSize-1.
const KeySpaceSize = 1 << 16

// Range is a run of keys with the same owner, or with none. From and To are
// both inclusive.
type Range struct {
	From int `json:"f"`
	To   int `json:"t"`
	// Owner is an upstream's ID, or empty while the range has no owner.
	Owner string `json:"o,omitempty"`
	// FencingToken is the fencing token of the owner's grant.
	FencingToken int64 `json:"e"`
	// HandoverToken is the token that the previous owner returned when it released
	// the keys, or empty if there is none. Owner serves them at full speed at once
	// if its grant carries the token.
	HandoverToken string `json:"h,omitempty"`
	// Unproven means that another upstream may hold keys of the range by a grant whose record is
	// lost. Nobody is granted them until that has expired; see package planner.
	Unproven bool `json:"u,omitempty"`
}

// PlannerHost is a host that is or was the planner.
type PlannerHost struct {
	// Host is empty for planners of which nothing is known, as the records of their terms are
	// lost.
	Host string `json:"h"`
	// Addr is the address at which other hosts reach it.
	Addr string `json:"a"`
}

// Retirement is a host's response to the request to send no more grants of earlier terms.
type Retirement struct {
	// Host is the name of the host that responded, "" if none did.
	Host string
	// Retired is set if the host's process sends no such grants any more and none is in flight.
	// ProcessAge is how long that process has been running: an earlier one may have planned too.
	Retired    bool
	ProcessAge time.Duration
	// Closing is the closing of the host's last term, if the log has returned since.
	Closing *Table
}

// Table is one service's ownership at one offset of the log. It is immutable.
type Table struct {
	Service string `json:"service"`
	// Era is the log's era in which the term began; 0 if the log service states none, or in
	// records of earlier builds.
	Era int64 `json:"era,omitempty"`
	// Term is the planner's term; the first record of each term increments it.
	Term int64 `json:"term"`
	// Planner is the host that wrote the record, PlannerAddr the address at
	// which other hosts reach it.
	Planner     string `json:"planner"`
	PlannerAddr string `json:"planner_addr"`
	// Cause is the reason for the change since the last record, for operators.
	Cause string `json:"cause,omitempty"`
	// MaxFencingToken is the highest fencing token allocated so far. Each record
	// raises it; hosts adopt a table only if theirs has a lower one.
	MaxFencingToken int64 `json:"fence"`
	// PreviousPlanners are the planners of earlier terms that may still send grants.
	PreviousPlanners []PlannerHost `json:"earlier,omitempty"`
	// Lost are the owners, sorted, that are unresponsive or no longer in the view, and to which
	// this term's planner has stopped sending grants. It resumes only after a record that
	// does not list the owner here, so that the next planner can bound how long lost
	// owners may still hold their keys.
	Lost []string `json:"lost,omitempty"`
	// Ranges cover all keys in order.
	Ranges []Range `json:"ranges"`
}

// WithLost returns the table with these lost owners, which must be sorted. It
// raises MaxFencingToken, without which hosts would not adopt the table.
func (t *Table) WithLost(lost []string) *Table {
	next := t.cloneWithPlanner(t.Planner, t.PlannerAddr)
	next.MaxFencingToken++
	next.Lost = lost
	return next
}

// WithUnproven returns the table with all ranges unproven but the given ones, which must be
// parts of its ranges and must not overlap.
func (t *Table) WithUnproven(proven []Range) *Table {
	next := t.cloneWithPlanner(t.Planner, t.PlannerAddr)
	for i := range next.Ranges {
		next.Ranges[i].Unproven = true
	}
	proven = slices.Clone(proven)
	slices.SortFunc(proven, func(x, y Range) int { return cmp.Compare(x.From, y.From) })
	next.Ranges = overlay(next.Ranges, proven)
	return next
}

// HasUnproven reports whether a range is unproven.
func (t *Table) HasUnproven() bool {
	return slices.ContainsFunc(t.Ranges, func(r Range) bool { return r.Unproven })
}

// Proven returns the table without unproven ranges, under a higher MaxFencingToken.
func (t *Table) Proven() *Table {
	next := t.cloneWithPlanner(t.Planner, t.PlannerAddr)
	next.MaxFencingToken++
	for i := range next.Ranges {
		next.Ranges[i].Unproven = false
	}
	next.mergeAdjacent()
	return next
}

// IsLost reports whether the owner is marked as lost.
func (t *Table) IsLost(owner string) bool {
	_, found := slices.BinarySearch(t.Lost, owner)
	return found
}

// NewTable returns a table in which no key has an owner.
func NewTable(service string) *Table {
	return &Table{Service: service, Ranges: []Range{{From: 0, To: KeySpaceSize - 1}}}
}

// Decode reads an encoded table and checks that its ranges cover each key once.
func Decode(data []byte) (*Table, error) {
	var t Table
	if err := decodeGzipJSON(data, &t); err != nil {
		return nil, err
	}
	next := 0
	for _, r := range t.Ranges {
		if r.From != next || r.To < r.From {
			return nil, eris.Errorf("ownership table %s: found range %d-%d, want a range that starts at key %d", t.Service, r.From, r.To, next)
		}
		if r.FencingToken > t.MaxFencingToken {
			return nil, eris.Errorf("ownership table %s: fencing token %d of a range exceeds the table's maximum of %d", t.Service, r.FencingToken, t.MaxFencingToken)
		}
		next = r.To + 1
	}
	if next != KeySpaceSize {
		return nil, eris.Errorf("ownership table %s: ranges end before key %d, not at the end of the key space", t.Service, next)
	}
	return &t, nil
}

// maxTableBytes bounds an encoded table or delta after decompression; a table of
// 16,000 ranges takes 1 MB.
const maxTableBytes = 8 << 20

// Encode returns the record to store, compressed JSON: about 2 KB instead of
// 11 KB for a table of 160 ranges.
func (t *Table) Encode() ([]byte, error) { return encodeGzipJSON(t) }

// encodeGzipJSON returns v as JSON, compressed since the same IDs recur in it.
func encodeGzipJSON(v any) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(v); err != nil {
		return nil, eris.Wrap(err, "ownership table or delta: encode")
	}
	if err := zw.Close(); err != nil {
		return nil, eris.Wrap(err, "ownership table or delta: encode")
	}
	return buf.Bytes(), nil
}

// decodeGzipJSON decodes the output of encodeGzipJSON into v.
func decodeGzipJSON(data []byte, v any) error {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "ownership table or delta: decode")
	}
	if err := json.NewDecoder(io.LimitReader(zr, maxTableBytes)).Decode(v); err != nil {
		return eris.Wrap(err, "ownership table or delta: decode")
	}
	return nil
}

// Find returns the range that contains key.
func (t *Table) Find(key int) Range {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= key })
	return t.Ranges[i]
}

// Move assigns the keys From to To, both inclusive, to another owner.
type Move struct {
	From, To int
	// NewOwner is an upstream's ID.
	NewOwner string
	// HandoverToken is the token that the previous owner returned when it released
	// the keys; empty if there is none.
	HandoverToken string
}

// eraStride is by how much fencing tokens and terms rise with each era of the log. It exceeds
// the number of records that a return of the log from an older copy can lose.
const eraStride = 1 << 20

// TakeOver returns the first table of a new planner's term, which begins in the given era of the
// log. Every range keeps its owner under a higher fencing token, so that each upstream that has
// seen the new token rejects the renewals that the previous planner still sends. Token and
// term are above all of earlier eras, also of records that are lost.
func (t *Table) TakeOver(planner, addr string, era int64) *Table {
	next := t.cloneWithPlanner(planner, addr)
	next.Term = firstInEra(t.Term, t.Era, era)
	next.MaxFencingToken = firstInEra(t.MaxFencingToken, t.Era, era)
	next.Era = era
	next.PreviousPlanners = t.grantingPlanners()
	for i := range next.Ranges {
		next.Ranges[i].FencingToken = next.MaxFencingToken
	}
	next.mergeAdjacent()
	return next
}

// firstInEra returns the number after last, which was recorded in era lastEra, for a record in
// the given era. A record without an era is taken for one of the given era. The era itself
// gives a lower bound, for a log that has lost every record.
func firstInEra(last, lastEra, era int64) int64 {
	if lastEra != 0 && era > lastEra {
		last += min(era-lastEra, eraStride) * eraStride
	}
	return max(last, era%eraStride*eraStride) + 1
}

// grantingPlanners returns the planners that may still send grants: the table's
// own and the previous ones.
func (t *Table) grantingPlanners() []PlannerHost {
	if t.Planner == "" {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(t.PreviousPlanners), func(p PlannerHost) bool { return p.Host == t.Planner })
	return append(others, PlannerHost{Host: t.Planner, Addr: t.PlannerAddr})
}

// Apply returns the table after the moves, all under one new fencing token. The
// moves must not overlap.
func (t *Table) Apply(moves []Move) *Table {
	next := t.cloneWithPlanner(t.Planner, t.PlannerAddr)
	next.MaxFencingToken++
	var moved []Range
	for _, m := range moves {
		moved = append(moved, Range{From: m.From, To: m.To, Owner: m.NewOwner, FencingToken: next.MaxFencingToken, HandoverToken: m.HandoverToken})
	}
	slices.SortStableFunc(moved, func(x, y Range) int { return cmp.Compare(x.From, y.From) })
	next.Ranges = overlay(t.Ranges, moved)
	next.mergeAdjacent()
	return next
}

// KeysMovedSince returns how many keys have another owner than in old. If old is
// nil, it returns how many have an owner.
func (t *Table) KeysMovedSince(old *Table) int {
	n := 0
	for _, r := range t.Ranges {
		if old == nil {
			if r.Owner != "" {
				n += r.To - r.From + 1
			}
			continue
		}
		for k := r.From; k <= r.To; {
			was := old.Find(k)
			to := min(was.To, r.To)
			if was.Owner != r.Owner {
				n += to - k + 1
			}
			k = to + 1
		}
	}
	return n
}

func (t *Table) cloneWithPlanner(planner, addr string) *Table {
	next := *t
	next.Planner, next.PlannerAddr = planner, addr
	next.Ranges = append([]Range(nil), t.Ranges...)
	return &next
}

// overlay returns the updates and the parts of base that they do not cover, in
// order. The updates must be in order and must not overlap. It makes one pass over
// base: with a pass for each update, 500 updates to a table of 3,000 ranges would
// take a fifth of the interval between plans.
func overlay(base, updates []Range) []Range {
	out := make([]Range, 0, len(base)+2*len(updates))
	for _, r := range base {
		from := r.From
		for len(updates) > 0 && updates[0].From <= r.To {
			if updates[0].From > from {
				before := r
				before.From, before.To = from, updates[0].From-1
				out = append(out, before)
			}
			from = updates[0].To + 1
			if updates[0].To > r.To {
				break // appended once the loop reaches the range of base that contains its last key
			}
			out = append(out, updates[0])
			updates = updates[1:]
		}
		if from <= r.To {
			r.From = from
			out = append(out, r)
		}
	}
	return out
}

// mergeAdjacent joins adjacent ranges that one grant can cover.
func (t *Table) mergeAdjacent() {
	out := t.Ranges[:0]
	for _, r := range t.Ranges {
		if n := len(out); n > 0 {
			last := &out[n-1]
			if last.Owner == r.Owner && last.FencingToken == r.FencingToken && last.HandoverToken == r.HandoverToken && last.Unproven == r.Unproven {
				last.To = r.To
				continue
			}
		}
		out = append(out, r)
	}
	t.Ranges = out
}
