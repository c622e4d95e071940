// Package pipenet is an in-memory network for tests that run whole hosts under
// testing/synctest. The fake clock of synctest advances only while every goroutine in
// the test's bubble is durably blocked; one that waits for a kernel socket is not.
package pipenet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects Dial to the listeners that Listen opened.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen opens a listener at addr, which may be any text. It returns EADDRINUSE if
// addr already has a listener.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{net: n, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to the listener at addr and waits until it accepts. It returns
// ECONNREFUSED if there is no listener.
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		n.mu.Lock()
		l.accepted = append(l.accepted, serverConn)
		n.mu.Unlock()
		return clientConn, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Disconnect disconnects the listener at addr: it removes it from the network and closes
// every connection that it has accepted. To clients this looks like a crash of the
// server. The server itself keeps running, and its Accept keeps blocking.
func (n *Network) Disconnect(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[addr]
	if l == nil {
		return
	}
	delete(n.listeners, addr)
	for _, c := range l.accepted {
		_ = c.Close()
	}
}

// listener implements net.Listener.
type listener struct {
	net    *Network
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	// accepted are the server's ends of all connections made, for Disconnect.
	accepted []net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.addr)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.addr) }

// address is a listener's address; it implements net.Addr.
type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }
