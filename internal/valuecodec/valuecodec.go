// Package valuecodec compresses the values of log records, optionally relative to an earlier
// value of the same key. A large value that differs little from the earlier one then takes a
// few kilobytes, so that the cost of passing it on follows the size of the change.
package valuecodec

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// windowBytes is the distance over which equal parts are found. It exceeds a value and its
	// base together.
	windowBytes = 4 << 20
	// maxValueBytes bounds a decoded value.
	maxValueBytes = 64 << 20
	// baseID marks a value that was compressed relative to a base.
	baseID = 1
)

// Encode compresses value relative to base, which may be nil.
func Encode(value, base []byte) ([]byte, error) {
	opts := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(baseID, base))
	}
	e, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, eris.Wrap(err, "value: encode")
	}
	return e.EncodeAll(value, nil), eris.Wrap(e.Close(), "value: encode")
}

// Decode returns the value from which Encode made data with the same base. It fails for any
// other base: the data contains a checksum of the value.
func Decode(data, base []byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxValueBytes)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(baseID, base))
	}
	d, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, eris.Wrap(err, "value: decode")
	}
	defer d.Close()
	value, err := d.DecodeAll(data, nil)
	return value, eris.Wrap(err, "value: decode")
}
