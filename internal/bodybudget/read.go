package bodybudget

import (
	"errors"
	"io"
)

var (
	// ErrTooLarge means that a body exceeds the largest one, ErrNoRoom that the budget has no room for it.
	ErrTooLarge = errors.New("body is too large")
	ErrNoRoom   = errors.New("no room for the body")
)

// firstBodyBytes is what a body of unknown length reserves first. Each further step doubles it.
const firstBodyBytes = 16 << 10

// Read reads a body of length bytes, -1 if that is not known, and of at most largest. It takes room for it
// from reservation, which the caller releases. The error may wrap ErrTooLarge or ErrNoRoom.
func Read(r io.Reader, length, largest int64, reservation *Reservation) ([]byte, error) {
	if length > largest {
		return nil, ErrTooLarge
	}
	if length >= 0 {
		if !reservation.Grow(length) {
			return nil, ErrNoRoom
		}
		data := make([]byte, length)
		_, err := io.ReadFull(r, data)
		return data, err
	}
	var data []byte
	for {
		size := int64(max(2*len(data), firstBodyBytes))
		if !reservation.Grow(size) { // the old buffer is still held while its content is copied
			return nil, ErrNoRoom
		}
		grown := make([]byte, size)
		held := copy(grown, data)
		n, err := io.ReadFull(r, grown[held:])
		data = grown[:held+n]
		reservation.Shrink(size)
		switch {
		case int64(len(data)) > largest:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
