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

// Proxy passes connections on to a target and misbehaves on demand.
type Proxy struct {
	ln net.Listener

	mu     sync.Mutex
	target string
	delay  time.Duration
	// cut holds which directions deliver nothing.
	cut   map[direction]bool
	conns map[*proxyConn]bool
}

type direction int

const (
	toTarget direction = iota
	toCaller
)

// proxyConn is one connection through the proxy. Once a byte of it was lost it is
// broken: it carries nothing more and is reset when the cut ends.
type proxyConn struct {
	caller, target *net.TCPConn
	broken         bool
}

// reset ends both sides at once.
func (l *proxyConn) reset() {
	for _, c := range []*net.TCPConn{l.caller, l.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// NewProxy starts a proxy at addr.
func NewProxy(addr, target string) (*Proxy, error) {
	ln, err := ports.Listen(addr)
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	p := &Proxy{ln: ln, target: target, cut: map[direction]bool{}, conns: map[*proxyConn]bool{}}
	go p.accept()
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetTarget sends new connections elsewhere and resets the old ones.
func (p *Proxy) SetTarget(addr string) {
	p.mu.Lock()
	p.target = addr
	p.mu.Unlock()
	p.Reset()
}

// SetDelay delays every chunk of bytes.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Cut stops delivery in the given directions; none heals the proxy.
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
	for l := range p.conns {
		if l.broken {
			l.reset()
		}
	}
}

// Reset resets every connection.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		l.reset()
	}
}

// Close ends the proxy.
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

func (p *Proxy) serve(caller *net.TCPConn) {
	p.mu.Lock()
	addr := p.target
	p.mu.Unlock()
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		// A port without a listener resets the connection.
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	l := &proxyConn{caller: caller, target: c.(*net.TCPConn)}
	p.mu.Lock()
	p.conns[l] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(l, caller, l.target, toTarget) })
	wg.Go(func() { p.pump(l, l.target, caller, toCaller) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, l)
	p.mu.Unlock()
}

const chunkBytes = 16 << 10

// pump copies one direction. An orderly end of one side ends the other in
// order, anything else resets it.
func (p *Proxy) pump(l *proxyConn, from, to *net.TCPConn, d direction) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.deliver(l, d) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if errors.Is(err, io.EOF) && !p.isBroken(l) {
			_ = l.caller.Close()
			_ = l.target.Close()
			return
		}
		if err != nil {
			l.reset()
			return
		}
	}
}

// deliver reports whether a chunk is delivered, after its delay.
func (p *Proxy) deliver(l *proxyConn, d direction) bool {
	p.mu.Lock()
	delay := p.delay
	l.broken = l.broken || p.cut[d]
	broken := l.broken
	p.mu.Unlock()
	if !broken {
		time.Sleep(delay)
	}
	return !broken
}

func (p *Proxy) isBroken(l *proxyConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.broken
}
