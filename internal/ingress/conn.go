package ingress

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/bodybudget"
)

const (
	// writeStallTimeout is how long a client may take to read writePieceBytes of a response.
	writeStallTimeout = 10 * time.Second
	writePieceBytes   = 64 << 10
)

const (
	// A head takes costPerByte for each byte, which is kept by the reader and as strings, and costPerLine for
	// each line, which becomes an entry of a map.
	costPerByte, costPerLine = 3, 160
	// freeHeadCost is the cost of a head that is not taken from the budget.
	freeHeadCost = 16 << 10
)

// ErrNoRoomForHead means that the process has no memory for a request's head.
var ErrNoRoomForHead = errors.New("no room for the head of the request")

// Conn is a client's connection.
type Conn struct {
	net.Conn
	l *Listener

	// The following are guarded by l.mu. counted is set while the connection counts as open, element while
	// it waits for its client.
	counted bool
	element *list.Element

	mu sync.Mutex
	// serving is set while a handler runs, bodyDone once it has read the request's body.
	serving, bodyDone bool
	// headCost is what the head that is being read has cost so far; heads holds what exceeds freeHeadCost.
	headCost int64
	heads    *bodybudget.Reservation
	closed   bool
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// NetConn returns the connection that a Conn wraps, or c itself if it is none.
func NetConn(c net.Conn) net.Conn {
	if ic, ok := c.(*Conn); ok {
		return ic.Conn
	}
	return c
}

// Read implements net.Conn. It fails with ErrNoRoomForHead after bytes of a head for which there is no room.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.chargeHead(p[:n]) {
		longHeads.Inc()
		return 0, ErrNoRoomForHead
	}
	return n, err
}

// chargeHead takes what the bytes of a head cost from the budget. It reports whether there is room.
func (c *Conn) chargeHead(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || c.closed {
		return true
	}
	before := max(c.headCost, freeHeadCost)
	c.headCost += int64(len(p))*costPerByte + int64(bytes.Count(p, []byte{'\n'}))*costPerLine
	return c.headCost <= before || c.heads.Grow(c.headCost-before)
}

// Write implements net.Conn. It fails if the client does not read.
func (c *Conn) Write(p []byte) (written int, err error) {
	c.l.wait(c)
	defer c.endWrite()
	for len(p) > 0 && err == nil {
		piece := p[:min(len(p), writePieceBytes)]
		_ = c.SetWriteDeadline(time.Now().Add(writeStallTimeout)) // Write reports a closed connection
		var n int
		n, err = c.Conn.Write(piece)
		written += n
		p = p[n:]
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		stalledWrites.Inc()
	}
	return written, err
}

// endWrite records that the client has accepted what was written.
func (c *Conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving && c.bodyDone {
		c.l.serve(c)
	}
}

// beginRequest records that a handler runs. Until bodyRead, the connection still waits for its client.
func (c *Conn) beginRequest(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.bodyDone = true, !hasBody
	if c.bodyDone {
		c.l.serve(c)
		return
	}
	c.l.wait(c)
}

// bodyRead records that the request's body was read to its end.
func (c *Conn) bodyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving && !c.bodyDone {
		c.bodyDone = true
		c.l.serve(c)
	}
}

// endRequest records that the handler has ended; idle that the rest of the request was read, too.
func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.releaseHead()
	c.l.wait(c)
}

func (c *Conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
}

// releaseHead gives back the room of the head. c.mu is held.
func (c *Conn) releaseHead() {
	c.headCost = 0
	c.heads.Release()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.forget()
	return c.Conn.Close()
}

// forget gives back what the connection holds of the limits.
func (c *Conn) forget() {
	c.mu.Lock()
	c.closed = true
	c.releaseHead()
	c.mu.Unlock()
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.remove(c)
}

// reset closes the connection at once. The client sees a reset.
func (c *Conn) reset() {
	c.forget()
	switch nc := c.Conn.(type) {
	case interface{ Abort() error }:
		_ = nc.Abort()
	case *net.TCPConn:
		_ = nc.SetLinger(0)
		_ = nc.Close()
	default:
		_ = nc.Close()
	}
}

// CloseWrite lets net/http end its side of the connection before the client's.
func (c *Conn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}
