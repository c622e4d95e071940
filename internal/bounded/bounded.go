// Package bounded bounds the responses of other processes, which may have no end.
package bounded

import (
	"errors"
	"io"
)

// MaxHeadBytes bounds the status line and headers of a response.
const MaxHeadBytes = 64 << 10

// MaxControlBytes bounds the body of a response without content, such as that to a grant or a probe.
const MaxControlBytes = 64 << 10

// ErrTooLarge means that a response was not read to its end.
var ErrTooLarge = errors.New("response is too large")

// Reader returns a reader of r that returns ErrTooLarge after limit bytes unless r ends there.
func Reader(r io.Reader, limit int64) io.Reader {
	return io.MultiReader(io.LimitReader(r, limit), &endReader{r})
}

// endReader fails unless its source has ended.
type endReader struct{ source io.Reader }

// Read implements io.Reader.
func (e *endReader) Read([]byte) (int, error) {
	var next [1]byte
	n, err := e.source.Read(next[:])
	if n > 0 {
		return 0, ErrTooLarge
	}
	return 0, err
}

// Discard reads a response without content to its end.
func Discard(r io.Reader) error {
	_, err := io.Copy(io.Discard, Reader(r, MaxControlBytes))
	return err
}
