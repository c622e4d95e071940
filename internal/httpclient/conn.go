package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// ErrBroken means that a connection ended after writing to it had failed, so that what was read before may be
// a part only.
var ErrBroken = errors.New("connection broke while it was written to")

// Conn is a connection whose end is read only if nothing went wrong in either direction. The kernel reports a
// reset to one call: if that is a write, the next read sees what looks like an orderly end, and a response
// that ends with its connection looks whole.
type Conn struct {
	net.Conn

	// writing is held during writes. writeErr is the first error of one.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a Conn on nc.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// DialFunc opens a connection to addr (host:port).
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns dial with connections that are a Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. At the end of a connection on which a write has failed, it returns an error that
// wraps ErrBroken.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := c.endWrites(); writeErr != nil {
			return n, fmt.Errorf("%w: %w", ErrBroken, writeErr)
		}
	}
	return n, err
}

// endWrites ends a write that is in progress, which may have received the report of a reset. It returns the
// error of an earlier one, or that report.
func (c *Conn) endWrites() error {
	_ = c.SetWriteDeadline(time.Now()) // fails only on a closed connection, on which no write is in progress
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil // the peer has stopped reading, and has ended its direction in an orderly way
	}
	return c.writeErr
}
