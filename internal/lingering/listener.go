// Package lingering closes connections without losing what was written to them.
//
// The kernel resets a connection that is closed with unread bytes, or that receives bytes after it
// was closed, and then discards what the peer has not received yet. A peer that sends its next
// request before it has read the response to the last one, as pipelining callers do, would lose
// that response. A Conn therefore first closes its own direction only, then reads and
// discards until the peer closes the connection.
package lingering

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// DefaultMaxConns bounds the lingering connections of a listener.
	DefaultMaxConns = 512
	// maxDuration bounds how long a connection lingers.
	maxDuration = 10 * time.Second
	// maxIdle is how long a connection lingers after everything was delivered to the peer's kernel and
	// nothing was received: peers that keep connections until they use them again do not close them.
	maxIdle = time.Second
	// checkInterval is how often a lingering connection is checked for undelivered bytes.
	checkInterval = 100 * time.Millisecond
	discardBytes  = 4 << 10
)

var (
	lingered = metrics.NewCounter(`papayatide_lingering_closes_total`)
	// discarded counts bytes that peers sent after the close.
	discarded = metrics.NewCounter(`papayatide_lingering_discarded_bytes_total`)
	// undelivered counts connections that were closed although the peer had not received everything.
	undelivered = metrics.NewCounter(`papayatide_lingering_undelivered_total`)
	refused     = metrics.NewCounter(`papayatide_lingering_refused_total`)
)

// Listener accepts connections that linger when they are closed.
type Listener struct {
	net.Listener
	maxConns int
	mu       sync.Mutex
	// count is the number of lingering connections, changed is closed when it becomes 0.
	count   int
	changed chan struct{}
}

// NewListener returns a listener that accepts the connections of ln. Up to maxConns linger at a time;
// further ones are closed at once.
func NewListener(ln net.Listener, maxConns int) *Listener {
	return &Listener{Listener: ln, maxConns: maxConns}
}

// Accept implements net.Listener. Connections that cannot be closed in one direction are
// returned as they are.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tc, ok := c.(*net.TCPConn); ok {
		return &Conn{TCPConn: tc, l: l}, nil
	}
	return c, nil
}

// Wait waits until no connection lingers, or ctx ends. The kernel resets connections that receive
// bytes after the process has exited.
func (l *Listener) Wait(ctx context.Context) {
	l.mu.Lock()
	if l.count == 0 {
		l.mu.Unlock()
		return
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	changed := l.changed
	l.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

// begin reports whether one more connection may linger.
func (l *Listener) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count >= l.maxConns {
		refused.Inc()
		return false
	}
	l.count++
	lingered.Inc()
	return true
}

func (l *Listener) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count--
	if l.count == 0 && l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// Conn is a connection whose Close returns at once and lets it linger.
type Conn struct {
	*net.TCPConn
	l *Listener

	mu sync.Mutex
	// reading counts the pending reads. readsDone is closed when there is none after Close.
	reading   int
	readsDone chan struct{}
	// peerClosed is set once the peer has closed or reset the connection.
	peerClosed, closed bool
}

// Read implements net.Conn. After Close it returns net.ErrClosed.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.reading++
	c.mu.Unlock()
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading--
	if c.closed {
		if c.reading == 0 {
			close(c.readsDone)
		}
		return 0, net.ErrClosed
	}
	c.peerClosed = c.peerClosed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn. A connection that the peer has closed does not linger, as nothing more
// can arrive.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed, c.readsDone = true, make(chan struct{})
	if c.peerClosed || !c.l.begin() {
		return c.TCPConn.Close()
	}
	if c.reading == 0 {
		close(c.readsDone)
	} else {
		_ = c.TCPConn.SetReadDeadline(time.Now()) // ends the pending reads
	}
	go c.linger()
	return nil
}

// Abort resets the connection, which does not linger. Nothing that the peer has not received yet arrives.
func (c *Conn) Abort() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed, c.readsDone = true, make(chan struct{})
	_ = c.SetLinger(0) // on failure, Close still closes the connection
	return c.TCPConn.Close()
}

func (c *Conn) linger() {
	defer c.l.end()
	defer func() { _ = c.TCPConn.Close() }()
	<-c.readsDone
	if err := c.CloseWrite(); err != nil {
		return // the connection is broken
	}
	buf := make([]byte, discardBytes)
	start := time.Now()
	active := start
	for now := start; now.Sub(start) < maxDuration; now = time.Now() {
		_ = c.TCPConn.SetReadDeadline(now.Add(checkInterval))
		n, err := c.TCPConn.Read(buf)
		discarded.Add(n)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if n > 0 || !delivered(c.TCPConn) {
			active = time.Now()
		}
		if time.Since(active) > maxIdle {
			return
		}
	}
	undelivered.Inc()
}
