package pipeline

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
)

const (
	// firstHoldBytes is the initial capacity for held-back bytes: a few request heads.
	firstHoldBytes = 2 << 10
	// peekedBytes is how many bytes of a request net/http's server waits for under its
	// idle time-out.
	peekedBytes = 4
)

// Conn is a caller's connection. Its Read hands net/http's server the bytes of one
// request at a time and holds back those behind. It is otherwise the connection that
// it wraps.
type Conn struct {
	net.Conn
	s *Server

	// mu guards the following. It is not held while Read waits for bytes. Only Read
	// changes held, and net/http's server never calls Read concurrently.
	mu sync.Mutex
	// passThrough is set for good once the bytes cannot be divided into requests with
	// certainty. All bytes are then handed over as they arrive.
	passThrough bool
	// heads counts the heads that have been handed over. body is how many bytes of the
	// last one's body have not. partial is the part of the next head that has been.
	heads   int
	body    int64
	partial []byte
	// held holds the bytes that were received and not handed over. Its first ahead
	// bytes are the heads of the requests in records.
	held  []byte
	ahead int
	// heldBytes is the part of held's memory that counts against the server's bound.
	heldBytes int
	// first is the memory of held if a single byte was received after a response.
	first [1]byte
	// unqualified is set if held[ahead:] begins with a request that must not be run ahead.
	unqualified bool
	// err is the error that ended the connection's input.
	err error
	// front is the request whose handler runs, nil if there is none. frontQualifies is
	// evaluated only if bytes are held. exited is set from the handler's end until the
	// next head is handed over.
	front          *http.Request
	frontChecked   bool
	frontQualifies bool
	exited         bool
	// records are the run-ahead requests that net/http's server has not reached.
	records []*record
	// waitingBytes is the size of the recorded responses, blocked the number of handlers
	// that wait for room for theirs.
	waitingBytes int
	blocked      int
	// closePending is set if a response was to close the connection while run-ahead
	// requests were behind it, closing if nothing may be run ahead any more.
	closePending, closing bool
	// base is the context of the run-ahead requests; nil before the first one.
	base       context.Context
	cancelBase context.CancelFunc
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) == 1 && c.betweenRequests() {
		return c.backgroundRead(p)
	}
	held := 0
	switch {
	case len(c.held) > 0 && len(c.held) < peekedBytes && len(p) > peekedBytes && c.err == nil && c.betweenRequests():
		// Reading the rest behind these bytes spares a copy of the head. net/http waits
		// for peekedBytes anyway before it regards a request as begun.
		held = copy(p, c.held)
	case len(c.held) > 0:
		return c.handOver(p), nil
	case c.err != nil:
		return 0, c.err
	}
	n, err := c.readConn(p[held:])
	if n == 0 {
		if held > 0 && c.err != nil {
			return c.handOver(p), nil
		}
		return 0, err
	}
	n += held
	c.releaseHeld()
	k := c.advance(p[:n])
	if k < n {
		c.held = append(make([]byte, 0, max(firstHoldBytes, n-k)), p[k:n]...)
	}
	return k, nil
}

// betweenRequests reports whether a whole request and nothing behind it has been handed
// over. A read of one byte is then net/http's background read, which is pending while a
// handler runs and serves to detect the caller's disconnect: the other reads fill an
// empty buffer of 4 KB.
func (c *Conn) betweenRequests() bool {
	return !c.passThrough && c.heads > 0 && c.body == 0 && len(c.partial) == 0
}

// backgroundRead reads ahead until the read is aborted through the read deadline or the
// connection ends. It returns a byte only if the handler has ended or the bytes held
// have reached their bound; net/http then no longer detects a disconnect, as it does
// without reading ahead once it has read a byte of the next request.
func (c *Conn) backgroundRead(p []byte) (int, error) {
	for {
		if c.err != nil {
			return 0, c.err
		}
		if len(c.held) >= maxHeldBytes || c.exited && len(c.held) > 0 {
			return c.handOver(p), nil
		}
		if len(c.held) == 0 {
			// Reading into p spares connections without pipelining a buffer.
			n, err := c.readConn(p)
			if n == 0 {
				return 0, err
			}
			if c.exited {
				// A caller that does not pipeline has read the response and sent its next
				// request before net/http has aborted this read.
				c.first[0] = p[0]
				c.held = c.first[:]
				return 0, nil
			}
			c.held = append(make([]byte, 0, firstHoldBytes), p[0])
			continue
		}
		if len(c.held) == cap(c.held) && !c.growHeld() {
			return c.handOver(p), nil
		}
		n, err := c.readConn(c.held[len(c.held):min(cap(c.held), maxHeldBytes)])
		c.held = c.held[:len(c.held)+n]
		c.runAhead()
		if err != nil {
			return 0, err
		}
	}
}

// growHeld makes room for more held bytes. It returns false if the server has none.
func (c *Conn) growHeld() bool {
	n := min(len(c.held), maxHeldBytes-len(c.held))
	if !c.s.take(n) {
		return false
	}
	c.heldBytes += n
	c.held = slices.Grow(c.held, n)
	return true
}

// releaseHeld ends the counting of held, which is handed over or dropped.
func (c *Conn) releaseHeld() {
	c.held = nil
	c.s.give(c.heldBytes)
	c.heldBytes = 0
}

// readConn reads from the wrapped connection without holding mu. An error other than a
// timeout ends the run-ahead requests.
func (c *Conn) readConn(p []byte) (int, error) {
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
		c.cancel()
	}
	return n, err
}

// handOver copies held bytes of the current request to p and returns their number.
func (c *Conn) handOver(p []byte) int {
	n := min(len(p), len(c.held))
	n = copy(p, c.held[:c.advance(c.held[:n])])
	c.held, c.ahead = c.held[n:], max(0, c.ahead-n)
	if len(c.held) == 0 {
		c.releaseHeld()
	}
	return n
}

// advance returns how many of the next bytes belong to the current request, at least
// one, and records that they are handed over.
func (c *Conn) advance(b []byte) int {
	switch {
	case c.passThrough:
		return len(b)
	case c.body > 0:
		n := int(min(c.body, int64(len(b))))
		c.body -= int64(n)
		return n
	}
	head, before := b, len(c.partial)
	if before > 0 {
		head = append(c.partial, b...)
	}
	// Only the last three bytes of the part that was searched before can belong to the end.
	searched := max(0, before-3)
	n := headEnd(head[searched:])
	if n == 0 {
		c.partial = append(c.partial, b...)
		if len(c.partial) > maxHeldBytes {
			c.leaveToNetHTTP()
		}
		return len(b)
	}
	head = head[:searched+n]
	n = len(head) - before
	c.partial = nil
	body, ok := inspectHead(head)
	if !ok {
		c.leaveToNetHTTP()
		return len(b)
	}
	c.body, c.exited, c.unqualified = body, false, false
	c.heads++
	if len(c.records) > 0 && c.records[0].seq == c.heads {
		c.records[0].handedOver = bytes.Equal(c.records[0].head, head)
	}
	return n
}

func (c *Conn) leaveToNetHTTP() { c.passThrough, c.partial = true, nil }

// cancel ends the run-ahead requests and prevents further ones.
func (c *Conn) cancel() {
	c.closing = true
	if c.cancelBase != nil {
		c.cancelBase()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
	c.s.give(c.heldBytes)
	c.heldBytes = 0
	return err
}

// drop ends the run-ahead requests that net/http's server has not reached, which get no
// response.
func (c *Conn) drop() {
	c.cancel()
	for _, rec := range c.records {
		c.settle(rec)
	}
	c.records = nil
}

// CloseWrite lets net/http end its side of the connection before the caller's.
func (c *Conn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}
