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
		n, err := fill(r, grown, copy(grown, data))
		data = grown[:n]
		reservation.Shrink(size)
		switch {
		case int64(len(data)) > largest:
			return nil, ErrTooLarge
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads into buf from position n on until it is full, and returns the new position. Unlike io.ReadFull it
// returns errors as they are: io.ErrUnexpectedEOF means that a body is cut, io.EOF that it is whole.
func fill(r io.Reader, buf []byte, n int) (int, error) {
	for n < len(buf) {
		m, err := r.Read(buf[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
