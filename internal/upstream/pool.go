package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/papayatide/papayatide/internal/httpclient"
	"github.com/papayatide/papayatide/internal/peek"
)

// Timings of connections to upstreams.
const (
	// dialTimeout bounds connecting, which normally takes a few milliseconds at most.
	// Waiting longer would help little: the kernel retransmits a lost SYN only after a
	// second.
	dialTimeout = 300 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection. Without it a network partition would block the request
	// until its deadline.
	tcpUserTimeout  = 2 * time.Second
	readBufferBytes = 4 << 10
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	// ends is Conn for reads and writes of requests and responses.
	ends *httpclient.Conn
	// br reads from in, which bounds the head of a response.
	br *bufio.Reader
	in *headReader
	// openedAt is when the connection was opened, lastUsedAt when it was put into the pool last.
	openedAt, lastUsedAt time.Time
	// lastRequestID is the ID of the previous request on this connection; a second
	// response to it may still arrive.
	lastRequestID string
	// idleUntil is when the connection's idle timeout passes; it is not reused after.
	idleUntil time.Time
}

// pool holds the idle connections to one upstream, most recently used last.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// get returns a healthy idle connection, or nil if there is none.
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
	c.lastUsedAt = time.Now()
	p.idle = append(p.idle, c)
}

// closeIdle closes the idle connections whose idle timeout has passed, or all of them
// if all is set.
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

// closedByUpstream looks for idle connections that the upstream has closed before their idle
// timeout. found is set if the most recently used one is closed; those are dropped up to the first
// open one. allOlder is set if no idle connection is open that was opened before a closed one was
// last used, as the end of a process closes all of its connections; all closed ones are then dropped.
func (p *pool) closedByUpstream(now time.Time) (found, allOlder bool) {
	idle := p.takeIdle() // checked outside the pool, so that no lock is held
	defer func() { p.putIdle(idle) }()
	open, closed := map[*conn]bool{}, map[*conn]bool{}
	var lastUsed time.Time
	for _, c := range idle {
		switch {
		case !c.closed():
			open[c] = true
		case now.Before(c.idleUntil):
			closed[c] = true
			if c.lastUsedAt.After(lastUsed) {
				lastUsed = c.lastUsedAt
			}
		}
	}
	allOlder = len(closed) > 0 && !slices.ContainsFunc(idle, func(c *conn) bool { return open[c] && c.openedBy(lastUsed) })
	for n := len(idle); n > 0 && closed[idle[n-1]]; n-- {
		found = true
		_ = idle[n-1].Close()
		idle = idle[:n-1]
	}
	if allOlder {
		idle = slices.DeleteFunc(idle, func(c *conn) bool {
			if closed[c] {
				_ = c.Close()
			}
			return closed[c]
		})
	}
	return found, allOlder
}

// hasOpen reports whether an idle connection is open that was opened by t.
func (p *pool) hasOpen(t time.Time) bool {
	idle := p.takeIdle()
	defer p.putIdle(idle)
	return slices.ContainsFunc(idle, func(c *conn) bool { return c.openedBy(t) && !c.closed() })
}

// takeIdle takes all connections out of the pool, putIdle puts them back.
func (p *pool) takeIdle() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle
	p.idle = nil
	return idle
}

func (p *pool) putIdle(idle []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(idle, p.idle...)
}

// openedBy reports whether the connection was opened at t or before.
func (c *conn) openedBy(t time.Time) bool { return !c.openedAt.After(t) }

// closed reports whether the peer has closed or reset the idle connection.
func (c *conn) closed() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	state := peek.ConnState(c.Conn)
	if state != peek.Unknown {
		return state == peek.Closed
	}
	// A connection in memory has no socket; its Read returns the end before a past deadline.
	if err := c.SetReadDeadline(time.Now()); err != nil {
		return true
	}
	if _, err := c.br.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	return c.SetReadDeadline(time.Time{}) != nil
}

// healthy reports whether the connection is open with nothing to read. Bytes that
// arrived while it was idle belong to no request. After an end of file the upstream
// has closed the connection, and a request sent now would have an unknown outcome.
func (c *conn) healthy() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	state := peek.ConnState(c.Conn)
	return state == peek.Idle || state == peek.Unknown
}

const (
	// rejectionWindow is how long a new connection is watched before the first request, besides
	// the round trip. An upstream with too many connections resets a new one about 2 ms after
	// accepting it.
	rejectionWindow = 2500 * time.Microsecond
	// maxRoundTrip bounds the round trip that connecting is taken to show. Connecting takes
	// longer where the host had no CPU meanwhile.
	maxRoundTrip = 10 * time.Millisecond
)

// checkRejected returns an error if the upstream resets or closes a new connection, or sends
// data, within rejectionWindow and a round trip. No request has been sent by then, so that it can
// be retried; see the package comment.
func (c *conn) checkRejected(connectTime time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(rejectionWindow + min(connectTime, maxRoundTrip))); err != nil {
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

var errUnexpectedBytes = errors.New("received data before sending a request")

// abort resets the connection. After an orderly close the kernel would still send a
// request that a network partition holds in the socket's send buffer, and the upstream
// would run it long after its caller received an outcome.
func (c *conn) abort() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		// On failure, Close below still closes the connection.
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
	return newConn(nc), nil
}

// newConn returns nc as a connection that was opened now.
func newConn(nc net.Conn) *conn {
	ends := httpclient.NewConn(nc)
	in := &headReader{source: ends}
	return &conn{Conn: nc, ends: ends, in: in, br: bufio.NewReaderSize(in, readBufferBytes), openedAt: time.Now()}
}

// dialAccepted is dial for a connection that the upstream does not reject at once.
func (c *Client) dialAccepted(ctx context.Context, addr string) (*conn, error) {
	start := time.Now()
	cn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err := cn.checkRejected(time.Since(start)); err != nil {
		cn.abort()
		return nil, err
	}
	return cn, nil
}

// dialBy is dial with a further deadline, unless that is zero.
func (c *Client) dialBy(ctx context.Context, by time.Time, addr string) (*conn, error) {
	if by.IsZero() {
		return c.dial(ctx, addr)
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	return c.dial(ctx, addr)
}

// setTCPUserTimeout is a net.Dialer.Control function that sets TCP_USER_TIMEOUT.
func setTCPUserTimeout(_, _ string, rc syscall.RawConn) error {
	var sockErr error
	err := rc.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
