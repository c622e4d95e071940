package ownership

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Change turns one table of a service into a later one. A table of hundreds
// of owners takes tens of kilobytes and changes by a few ranges several times
// a second; hosts that have the earlier one are sent only those.
type Change struct {
	// Base is the digest of the table that the change applies to, Result that
	// of the table it makes. A host that missed a change, or was sent one
	// twice, finds another digest and asks for the whole table; without them
	// it would go on with a wrong owner for every key of the lost change.
	Base   uint64 `json:"base"`
	Result uint64 `json:"result"`
	// Next is the later table, with only those ranges that the earlier one
	// has not.
	Next Table `json:"next"`
}

// ErrBase means that a change does not apply to the table at hand.
var ErrBase = errors.New("change of another ownership table")

// ChangeOf returns what turns old into next.
func ChangeOf(old, next *Table) *Change {
	c := &Change{Base: old.Digest(), Result: next.Digest(), Next: *next}
	c.Next.Ranges = nil
	had := make(map[Range]bool, len(old.Ranges))
	for _, r := range old.Ranges {
		had[r] = true
	}
	for _, r := range next.Ranges {
		if !had[r] {
			c.Next.Ranges = append(c.Next.Ranges, r)
		}
	}
	return c
}

// Apply returns the table that the change makes of old, which may be nil. It
// fails with ErrBase if the change was not made from old.
func (c *Change) Apply(old *Table) (*Table, error) {
	if old == nil || old.Digest() != c.Base {
		return nil, eris.Wrapf(ErrBase, "ownership table %s: base", c.Next.Service)
	}
	next := c.Next
	next.Ranges = overlay(old.Ranges, c.Next.Ranges)
	if next.Digest() != c.Result {
		return nil, eris.Wrapf(ErrBase, "ownership table %s: result", c.Next.Service)
	}
	return &next, nil
}

// Encode returns the change as it is sent, compressed like a table.
func (c *Change) Encode() ([]byte, error) { return pack(c) }

// DecodeChange reads a change. Whether it makes sense shows when it is
// applied.
func DecodeChange(data []byte) (*Change, error) {
	var c Change
	if err := unpack(data, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

// Digest returns a number that differs for tables that differ in anything.
func (t *Table) Digest() uint64 {
	b := make([]byte, 0, digestRoom*(len(t.Ranges)+1))
	b = appendStrings(b, t.Service, t.Planner, t.PlannerAddr, t.Cause)
	b = appendInts(b, t.Term, t.Fence, int64(len(t.Earlier)), int64(len(t.Lost)), int64(len(t.Ranges)))
	for _, p := range t.Earlier {
		b = appendStrings(b, p.Host, p.Addr)
	}
	b = appendStrings(b, t.Lost...)
	for _, r := range t.Ranges {
		b = appendInts(b, int64(r.From), int64(r.To), r.Fence)
		b = appendStrings(b, r.Owner, r.Handover)
	}
	return xxhash.Sum64(b)
}

// digestRoom is about how many bytes a range takes in the digest's input.
const digestRoom = 64

func appendInts(b []byte, ns ...int64) []byte {
	for _, n := range ns {
		b = binary.AppendVarint(b, n)
	}
	return b
}

// appendStrings appends each string behind its length, so that no two lists
// give the same bytes.
func appendStrings(b []byte, ss ...string) []byte {
	for _, s := range ss {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return b
}
