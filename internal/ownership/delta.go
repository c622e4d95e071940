package ownership

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Delta turns one table of a service into a later one. A table of hundreds
// of owners takes tens of kilobytes and changes by a few ranges several times
// a second; hosts that have the earlier one are sent only those.
type Delta struct {
	// BaseDigest is the digest of the table that the change applies to, Result that
	// of the table it makes. A host that missed a change, or was sent one
	// twice, finds another digest and asks for the whole table; without them
	// it would go on with a wrong owner for every key of the lost change.
	BaseDigest   uint64 `json:"base"`
	ResultDigest uint64 `json:"result"`
	// Next is the later table, with only those ranges that the earlier one
	// has not.
	Next Table `json:"next"`
}

// ErrBase means that a change does not apply to the table at hand.
var ErrBaseMismatch = errors.New("change of another ownership table")

// Diff returns what turns old into next.
func Diff(old, next *Table) *Delta {
	c := &Delta{BaseDigest: old.Digest(), ResultDigest: next.Digest(), Next: *next}
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
func (c *Delta) Apply(old *Table) (*Table, error) {
	if old == nil || old.Digest() != c.BaseDigest {
		return nil, eris.Wrapf(ErrBaseMismatch, "ownership table %s: base", c.Next.Service)
	}
	next := c.Next
	next.Ranges = overlay(old.Ranges, c.Next.Ranges)
	if next.Digest() != c.ResultDigest {
		return nil, eris.Wrapf(ErrBaseMismatch, "ownership table %s: result", c.Next.Service)
	}
	return &next, nil
}

// Encode returns the change as it is sent, compressed like a table.
func (c *Delta) Encode() ([]byte, error) { return encodeGzipJSON(c) }

// DecodeDelta reads a change. Whether it makes sense shows when it is
// applied.
func DecodeDelta(data []byte) (*Delta, error) {
	var c Delta
	if err := decodeGzipJSON(data, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

// Digest returns a number that differs for tables that differ in anything.
func (t *Table) Digest() uint64 {
	b := make([]byte, 0, digestBytesPerRange*(len(t.Ranges)+1))
	b = appendStrings(b, t.Service, t.Planner, t.PlannerAddr, t.Cause)
	b = appendInts(b, t.Term, t.MaxFencingToken, int64(len(t.PreviousPlanners)), int64(len(t.Lost)), int64(len(t.Ranges)))
	for _, p := range t.PreviousPlanners {
		b = appendStrings(b, p.Host, p.Addr)
	}
	b = appendStrings(b, t.Lost...)
	for _, r := range t.Ranges {
		b = appendInts(b, int64(r.From), int64(r.To), r.FencingToken)
		b = appendStrings(b, r.Owner, r.HandoverToken)
	}
	return xxhash.Sum64(b)
}

// digestRoom is about how many bytes a range takes in the digest's input.
const digestBytesPerRange = 64

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
