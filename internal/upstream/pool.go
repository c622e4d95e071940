package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/papayatide/papayatide/internal/peek"
)

// Timings of connections to upstreams.
const (
	// dialTimeout bounds connecting. Hosts and upstreams are within 2 ms of
	// each other and a new connection costs 1 ms; a lost opening packet
	// would only be sent again after a second.
	dialTimeout = 300 * time.Millisecond
	// tcpUserTimeout bounds how long sent bytes go without being
	// acknowledged before the kernel gives the connection up; without it a
	// partition would keep the connection in use until the deadline.
	tcpUserTimeout = 2 * time.Second
	// defaultIdleTimeout is how long a connection is kept if the upstream has not
	// said how long it will keep it.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the part of the upstream's idle time that is used; the
	// rest covers the way there, so that a request does not meet a
	// connection that is being closed.
	idleTimeoutFraction = 0.7
	readBufferBytes     = 4 << 10
)

// conn is one connection to an upstream, used for one request at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// lastRequestID is the ID of the request answered last on this connection; an
	// extra answer to it may still arrive.
	lastRequestID string
	// idleUntil is when the connection may no longer be used again.
	idleUntil time.Time
}

// pool keeps the idle connections to one upstream, newest last.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// get returns an idle connection that still looks sound, or nil.
func (p *pool) get(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.healthy() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// closeIdle closes the connections that are past their time, or all.
func (p *pool) closeIdle(now time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if all || !now.Before(c.idleUntil) {
			_ = c.Close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// healthy reports whether the connection is open with nothing to read. Bytes
// that arrived while nobody was waiting belong to no request, and an end of
// file means that the upstream has closed it: a request sent now would be
// lost without anybody knowing whether it ran.
func (c *conn) healthy() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	state := peek.Conn(c.Conn)
	return state == peek.Idle || state == peek.Unknown
}

// settleTime is how long after it is open a new connection is watched before the
// first request: an upstream with too many resets it some two milliseconds later.
const rejectionWindow = 2500 * time.Microsecond

// checkRejected reports why a new connection cannot be used, nil if it can. An upstream
// with too many connections resets those beyond; a request that was written
// meanwhile may have run, as far as this host could tell, and callers with work
// that must not repeat were left with that. Before anything is sent it certainly
// has not.
func (c *conn) checkRejected() error {
	if err := c.SetReadDeadline(time.Now().Add(rejectionWindow)); err != nil {
		return err
	}
	_, err := c.br.Peek(1)
	switch {
	case err == nil:
		return errUnexpectedBytes
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

var errUnexpectedBytes = errors.New("bytes that answer nothing")

// abort resets the connection. An orderly close would let the kernel go on
// sending a request that is still queued behind a cut link, and it would run
// long after its caller was told how it ended.
func (c *conn) abort() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		// If it fails the connection is closed all the same.
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// dial opens a connection to addr (host:port).
func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := c.Dial(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBufferBytes)}, nil
}

func setTCPUserTimeout(_, _ string, rc syscall.RawConn) error {
	var serr error
	err := rc.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return serr
}
