package ownership

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Delta turns one table of a service into a later one. A table of hundreds
// of owners takes tens of kilobytes, while a few of its ranges change several
// times a second; hosts that have the earlier table are sent only those ranges.
type Delta struct {
	// BaseDigest is the digest of the table that the delta applies to, ResultDigest
	// that of the resulting table. After a missed or duplicated delta a digest does
	// not match, and the host requests the whole table; without the check it would
	// keep a wrong owner for every key of a missed delta.
	BaseDigest   uint64 `json:"base"`
	ResultDigest uint64 `json:"result"`
	// Next is the later table, with only those ranges that the earlier one
	// does not have.
	Next Table `json:"next"`
}

// ErrDigestMismatch means that a delta does not apply to the given table: the digest
// of that table or of the result differs from the one in the delta.
var ErrDigestMismatch = errors.New("ownership delta does not apply to this table")

// Diff returns the delta that turns old into next.
func Diff(old, next *Table) *Delta {
	d := &Delta{BaseDigest: old.Digest(), ResultDigest: next.Digest(), Next: *next}
	d.Next.Ranges = nil
	inOld := make(map[Range]bool, len(old.Ranges))
	for _, r := range old.Ranges {
		inOld[r] = true
	}
	for _, r := range next.Ranges {
		if !inOld[r] {
			d.Next.Ranges = append(d.Next.Ranges, r)
		}
	}
	return d
}

// Apply returns the result of applying the delta to old. It fails with
// ErrDigestMismatch if old is nil, or if the digest of old or of the result differs
// from the one in the delta.
func (d *Delta) Apply(old *Table) (*Table, error) {
	if old == nil || old.Digest() != d.BaseDigest {
		return nil, eris.Wrapf(ErrDigestMismatch, "ownership table %s: base digest differs", d.Next.Service)
	}
	next := d.Next
	next.Ranges = overlay(old.Ranges, d.Next.Ranges)
	if next.Digest() != d.ResultDigest {
		return nil, eris.Wrapf(ErrDigestMismatch, "ownership table %s: result digest differs", d.Next.Service)
	}
	return &next, nil
}

// Encode returns the delta as it is sent, in the same encoding as a table.
func (d *Delta) Encode() ([]byte, error) { return encodeGzipJSON(d) }

// DecodeDelta reads an encoded delta. Its contents are checked only by Apply.
func DecodeDelta(data []byte) (*Delta, error) {
	var d Delta
	if err := decodeGzipJSON(data, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

// Digest returns a hash of all fields of the table.
func (t *Table) Digest() uint64 {
	b := make([]byte, 0, digestBytesPerRange*(len(t.Ranges)+1))
	b = appendStrings(b, t.Service, t.Planner, t.PlannerAddr, t.Cause)
	b = appendInts(b, t.Era, t.Term, t.MaxFencingToken, int64(len(t.PreviousPlanners)), int64(len(t.Lost)), int64(len(t.Ranges)))
	for _, p := range t.PreviousPlanners {
		b = appendStrings(b, p.Host, p.Addr)
	}
	b = appendStrings(b, t.Lost...)
	for _, r := range t.Ranges {
		unproven := int64(0)
		if r.Unproven {
			unproven = 1
		}
		b = appendInts(b, int64(r.From), int64(r.To), r.FencingToken, unproven)
		b = appendStrings(b, r.Owner, r.HandoverToken)
	}
	return xxhash.Sum64(b)
}

// digestBytesPerRange is the approximate size of a range in the digest's
// input, to allocate the buffer.
const digestBytesPerRange = 64

func appendInts(b []byte, ns ...int64) []byte {
	for _, n := range ns {
		b = binary.AppendVarint(b, n)
	}
	return b
}

// appendStrings appends each string after its length, so that different lists
// of strings never give the same bytes.
func appendStrings(b []byte, ss ...string) []byte {
	for _, s := range ss {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return b
}
