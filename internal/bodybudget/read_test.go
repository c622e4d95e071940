package bodybudget

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against bodies that take memory without a bound: each counts while it is read, a large one is not
// read to its end, and what was taken is given back.
func TestBodiesAreReadWithinTheBudget(t *testing.T) {
	const largest = 100 << 10
	for name, c := range map[string]struct {
		size   int
		length int64
		inUse  int64
		want   error
	}{
		"whole":             {size: 50 << 10, length: 50 << 10},
		"chunked":           {size: 50 << 10, length: -1},
		"empty and chunked": {length: -1},
		"too large":         {size: largest + 1, length: largest + 1, want: ErrTooLarge},
		"chunked too large": {size: largest + 1, length: -1, want: ErrTooLarge},
		"no room":           {size: 50 << 10, length: 50 << 10, inUse: 180 << 10, want: ErrNoRoom},
		"no room, chunked":  {size: 50 << 10, length: -1, inUse: 150 << 10, want: ErrNoRoom},
		"cut":               {size: 10, length: 11, want: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			budget := New(200<<10 + 128<<10)
			budget.Reserve().Grow(c.inUse + 128<<10)
			if c.inUse == 0 {
				budget = New(512 << 10)
			}
			before, reservation, body := budget.InUse(), budget.Reserve(), strings.Repeat("x", c.size)
			data, err := Read(strings.NewReader(body), c.length, largest, reservation)
			if !errors.Is(err, c.want) || err == nil && string(data) != body {
				t.Errorf("%d bytes, %v; want %v", len(data), err, c.want)
			}
			reservation.Release()
			if budget.InUse() != before {
				t.Errorf("%d bytes in use, want %d", budget.InUse(), before)
			}
		})
	}
}

// cutReader ends as a body that is cut within its chunks does.
type cutReader struct{ io.Reader }

func (r cutReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Guards against a body of unknown length that is cut and taken for a whole one.
func TestCutBodyIsNotWhole(t *testing.T) {
	for _, size := range []int{0, 10, firstBodyBytes, firstBodyBytes + 1} {
		data, err := Read(cutReader{strings.NewReader(strings.Repeat("x", size))}, -1, 1<<20, New(1<<20).Reserve())
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d bytes before the cut: read %d, %v", size, len(data), err)
		}
	}
}
