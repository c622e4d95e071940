// Package pathfault is the kernel's network as one host sees it, with faults of the host's paths to
// some addresses that a file states. Package soak runs entry hosts on it.
package pathfault

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Kinds of faults, by their names in the file.
const (
	// Silent drops all data, and connecting times out. Connections that have lost data are reset when
	// the fault ends.
	Silent = "silent"
	// Refused resets the open connections and refuses new ones.
	Refused = "refused"
	// NewRefused refuses new connections; the open ones go on working.
	NewRefused = "new-refused"
)

// FileEnv is the environment variable with the path of the file.
const FileEnv = "PAPAYATIDE_PATH_FAULT"

// pollInterval is how often the file is read.
const pollInterval = 20 * time.Millisecond

// Write states a fault in the file: its kind, "" for none, and the addresses (host:port) that it affects.
func Write(file, kind string, addrs []string) error {
	next := file + ".next"
	if err := os.WriteFile(next, []byte(strings.Join(append([]string{kind}, addrs...), "\n")), 0o600); err != nil {
		return err
	}
	return os.Rename(next, file)
}

// Network opens sockets, subject to the fault.
type Network struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// connectTimeout is how long connecting takes to fail on a silent path.
	connectTimeout time.Duration

	mu       sync.Mutex
	text     string
	kind     string
	affected map[string]bool
	conns    map[*conn]bool
}

// New returns a network that opens connections with dial and follows the file until ctx ends.
func New(ctx context.Context, file string, connectTimeout time.Duration, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Network {
	n := &Network{dial: dial, connectTimeout: connectTimeout, conns: map[*conn]bool{}}
	n.read(file)
	go func() {
		t := time.NewTicker(pollInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				n.read(file)
			}
		}
	}()
	return n
}

// read reads the file; without one there is no fault.
func (n *Network) read(file string) {
	data, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return // it is read again soon
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if string(data) == n.text {
		return
	}
	n.text = string(data)
	lines := strings.Split(n.text, "\n")
	n.kind, n.affected = lines[0], map[string]bool{}
	for _, addr := range lines[1:] {
		n.affected[addr] = true
	}
	for c := range n.conns {
		if n.kind == Refused && n.affected[c.addr] || c.broken && !n.affects(c.addr, Silent) {
			c.reset()
		}
	}
}

// affects reports whether the fault is of the given kind and affects addr. The caller holds mu.
func (n *Network) affects(addr, kind string) bool { return n.kind == kind && n.affected[addr] }

// Listen opens a TCP listener at addr (host:port).
func (n *Network) Listen(addr string) (net.Listener, error) { return net.Listen("tcp4", addr) }

// Dial opens a connection to addr.
func (n *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	n.mu.Lock()
	silent, refused := n.affects(addr, Silent), n.affects(addr, Refused) || n.affects(addr, NewRefused)
	n.mu.Unlock()
	switch {
	case refused:
		return nil, syscall.ECONNREFUSED
	case silent:
		select {
		case <-time.After(n.connectTimeout):
			return nil, os.ErrDeadlineExceeded
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	nc, err := n.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	c := &conn{Conn: tcp, tcp: tcp, net: n, addr: addr, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return c, nil
}

// conn is a connection whose data a fault can drop.
type conn struct {
	net.Conn
	tcp       *net.TCPConn
	net       *Network
	addr      string
	closeOnce sync.Once
	closed    chan struct{}
	// broken is set once data was lost; it is guarded by net.mu.
	broken bool

	mu           sync.Mutex
	readDeadline time.Time
}

// lost reports whether data on the connection is lost now. A connection that loses some delivers
// nothing more.
func (c *conn) lost() bool {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.broken = c.broken || c.net.affects(c.addr, Silent)
	return c.broken
}

// Read implements net.Conn. On a silent path nothing arrives, not even the end of the connection.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if errors.Is(err, os.ErrDeadlineExceeded) || !c.lost() {
			return n, err
		}
		if err != nil {
			return 0, c.await()
		}
	}
}

// await waits until the read deadline or until the connection is closed.
func (c *conn) await() error {
	c.mu.Lock()
	deadline := c.readDeadline
	c.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		expired = time.After(time.Until(deadline))
	}
	select {
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-c.closed:
		return syscall.ECONNRESET
	}
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// Write implements net.Conn. On a silent path the data is lost.
func (c *conn) Write(b []byte) (int, error) {
	if c.lost() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// reset resets the connection. The caller holds net.mu.
func (c *conn) reset() {
	delete(c.net.conns, c)
	c.closeOnce.Do(func() { close(c.closed) })
	_ = c.tcp.SetLinger(0)
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}
