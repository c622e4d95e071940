// Package pipenet is a network in memory, for tests that run whole hosts on a
// clock of their own (testing/synctest), which knows when nobody has anything to
// do only while no socket of the kernel is waited for.
package pipenet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects the listeners that it has opened.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen opens a listener at addr, any text that no other listener has.
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

// Dial connects to the listener at addr. Without one it fails as a connection
// does that nobody listens for.
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		n.mu.Lock()
		l.accepted = append(l.accepted, far)
		n.mu.Unlock()
		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Kill has nobody reach the listener at addr any more and closes every connection
// that it has taken, as the end of its process would. The process itself, which
// is not killed, sees neither.
func (n *Network) Kill(addr string) {
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

type listener struct {
	net    *Network
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	// accepted are the connections that it has taken.
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

// address is a place in the network.
type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }
