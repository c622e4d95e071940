package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/standin/ports"
)

// Proxy forwards TCP connections from clients to a server. It can delay or reset them,
// silently drop their data in one or both directions, or hold up the data to the server.
type Proxy struct {
	ln net.Listener

	mu         sync.Mutex
	serverAddr string
	delay      time.Duration
	// cut holds the directions whose data is dropped.
	cut   map[direction]bool
	conns map[*proxyConn]bool
	// holding is set while data to the server is held up, clientsEnd while a client that closes
	// its connection counts as a process that has ended: its data is delivered all the same.
	holding, clientsEnd bool
}

type direction int

const (
	toServer direction = iota
	toClient
)

// proxyConn is one connection through the proxy. Once data of it was dropped it is
// broken: the proxy delivers no more of it and resets it when the cut ends.
type proxyConn struct {
	client, server *net.TCPConn
	broken         bool
	// held is the data that is held up, orphaned is set if the client's process has ended since.
	held     []byte
	orphaned bool
}

// reset closes both sides with a TCP reset.
func (conn *proxyConn) reset() {
	for _, c := range []*net.TCPConn{conn.client, conn.server} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// NewProxy starts a proxy that listens at addr and forwards to serverAddr.
func NewProxy(addr, serverAddr string) (*Proxy, error) {
	ln, err := ports.Listen(addr)
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	p := &Proxy{ln: ln, serverAddr: serverAddr, cut: map[direction]bool{}, conns: map[*proxyConn]bool{}}
	go p.accept()
	return p, nil
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetServer forwards new connections to addr and resets the existing ones.
func (p *Proxy) SetServer(addr string) {
	p.mu.Lock()
	p.serverAddr = addr
	p.mu.Unlock()
	p.Reset()
}

// SetDelay delays every chunk of data by d, in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Cut silently drops all data in the given directions. Without a direction it ends the
// cut and resets the broken connections.
func (p *Proxy) Cut(ds ...direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cut)
	for _, d := range ds {
		p.cut[d] = true
	}
	if len(ds) > 0 {
		return
	}
	for conn := range p.conns {
		if conn.broken {
			conn.reset()
		}
	}
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.reset()
	}
}

// Hold holds up data to the server until Release.
func (p *Proxy) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holding = true
}

// SetClientsEnd begins or ends a time in which clients that close their connections are processes that
// end.
func (p *Proxy) SetClientsEnd(v bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clientsEnd = v
}

// Release delivers what was held up, except data of clients that have reset their connections.
func (p *Proxy) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holding = false
	for conn := range p.conns {
		if len(conn.held) > 0 {
			_, _ = conn.server.Write(conn.held) // on an error the server has closed the connection
			conn.held = nil
		}
		if conn.orphaned {
			_ = conn.server.CloseWrite()
		}
	}
}

// hold keeps data that is held up and reports whether it is.
func (p *Proxy) hold(conn *proxyConn, data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holding {
		conn.held = append(conn.held, data...)
	}
	return p.holding
}

// orphan reports whether the client of a connection with held-up data has ended, and not reset it.
func (p *Proxy) orphan(conn *proxyConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.orphaned = conn.orphaned || p.clientsEnd && len(conn.held) > 0
	return conn.orphaned
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	p.mu.Lock()
	addr := p.serverAddr
	p.mu.Unlock()
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		// A port without a listener resets a connection, and so does the proxy.
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	conn := &proxyConn{client: client, server: c.(*net.TCPConn)}
	p.mu.Lock()
	p.conns[conn] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(conn, client, conn.server, toServer) })
	wg.Go(func() { p.pump(conn, conn.server, client, toClient) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// chunkBytes is the size of the buffer for each direction.
const chunkBytes = 16 << 10

// pump copies the data of one direction. An EOF closes both sides, unless the
// connection is broken; any error resets them.
func (p *Proxy) pump(conn *proxyConn, from, to *net.TCPConn, d direction) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && d == toServer && p.hold(conn, buf[:n]) {
			n = 0
		}
		if err != nil && d == toServer && p.orphan(conn) {
			return // the other direction ends once the server closes the connection
		}
		if n > 0 && p.deliver(conn, d) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if errors.Is(err, io.EOF) && !p.isBroken(conn) {
			_ = conn.client.Close()
			_ = conn.server.Close()
			return
		}
		if err != nil {
			conn.reset()
			return
		}
	}
}

// deliver waits for the delay and reports whether the chunk is to be delivered. A chunk
// that meets a cut breaks the connection.
func (p *Proxy) deliver(conn *proxyConn, d direction) bool {
	p.mu.Lock()
	delay := p.delay
	conn.broken = conn.broken || p.cut[d]
	broken := conn.broken
	p.mu.Unlock()
	if !broken {
		time.Sleep(delay)
	}
	return !broken
}

func (p *Proxy) isBroken(conn *proxyConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return conn.broken
}
