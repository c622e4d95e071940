package pipenet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Fault is a fault of one host's paths to a set of addresses.
type Fault int

const (
	// None delivers everything.
	None Fault = iota
	// Silent drops all data, and connecting times out. Connections that have lost data are
	// reset when the fault ends.
	Silent
	// Refused resets the open connections and refuses new ones.
	Refused
	// NewRefused refuses new connections; the open ones go on working.
	NewRefused
)

func (f Fault) String() string { return [...]string{"none", "silent", "refused", "new refused"}[f] }

// connectTimeout is how long connecting takes to fail on a silent path.
const connectTimeout = 300 * time.Millisecond

// Paths is a Network as one host sees it, with faults of that host's paths to the affected
// addresses. Other hosts reach these addresses as before.
type Paths struct {
	*Network
	// affects reports whether the faults concern connections to addr.
	affects func(addr string) bool

	mu    sync.Mutex
	fault Fault
	conns map[*pathConn]bool
}

// NewPaths returns a host's paths without a fault. affects selects the addresses of later faults.
func NewPaths(n *Network, affects func(addr string) bool) *Paths {
	return &Paths{Network: n, affects: affects, conns: map[*pathConn]bool{}}
}

// SetFault begins a fault, or ends it with None.
func (p *Paths) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.conns {
		if f == Refused || (f == None && c.broken) {
			c.abort()
		}
	}
}

// Fault returns the fault at present.
func (p *Paths) Fault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Dial connects to the listener at addr, subject to the fault.
func (p *Paths) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if !p.affects(addr) {
		return p.Network.Dial(ctx, network, addr)
	}
	switch p.Fault() {
	case Refused, NewRefused:
		return nil, syscall.ECONNREFUSED
	case Silent:
		select {
		case <-time.After(connectTimeout):
			return nil, os.ErrDeadlineExceeded
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	server, err := p.Network.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	host, path := net.Pipe()
	c := &pathConn{Conn: host, path: path, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	go p.pump(c, path, server)
	go p.pump(c, server, path)
	return c, nil
}

// pump copies the data of one direction until either side closes the connection.
func (p *Paths) pump(c *pathConn, from, to net.Conn) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.deliver(c) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if from == c.server && !p.deliver(c) {
			return // the end of the connection does not arrive either
		}
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		_ = c.path.Close()
		_ = c.server.Close()
		return
	}
}

// deliver reports whether data on the connection arrives now. A connection that loses some
// delivers nothing more.
func (p *Paths) deliver(c *pathConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.broken = c.broken || p.fault == Silent
	return !c.broken
}

// pathConn is the host's end of a connection whose other end is server.
type pathConn struct {
	net.Conn
	path, server net.Conn
	// broken is set once data was lost; it is guarded by Paths.mu.
	broken bool
	reset  atomic.Bool
}

// abort resets the connection on both sides.
func (c *pathConn) abort() {
	c.reset.Store(true)
	_ = c.path.Close()
	_ = c.server.Close()
}

// Read implements net.Conn. The end of a connection that was reset is an error, as with TCP.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.reset.Load() {
		return n, syscall.ECONNRESET
	}
	return n, err
}
