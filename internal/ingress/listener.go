package ingress

import (
	"container/list"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayatide/papayatide/internal/bodybudget"
)

const (
	// crowdedShare is the part of a listener's connections from which on new ones get a receive buffer of
	// crowdedReceiveBytes in place of one that the kernel sizes.
	crowdedShare        = 8
	crowdedReceiveBytes = 16 << 10
)

var (
	evictedTotal  = metrics.NewCounter(`papayatide_client_connections_evicted_total`)
	rejectedTotal = metrics.NewCounter(`papayatide_client_connections_rejected_total`)
	longHeads     = metrics.NewCounter(`papayatide_client_heads_without_room_total`)
	stalledWrites = metrics.NewCounter(`papayatide_client_writes_stalled_total`)
)

// Counts are the connections that this process has closed because of its limits.
type Counts struct {
	// Evicted made room for others, Rejected found no room, LongHeads had heads without room, StalledWrites
	// had clients that did not read.
	Evicted, Rejected, LongHeads, StalledWrites uint64
}

// CountsSoFar returns the counts since the start of the process.
func CountsSoFar() Counts {
	return Counts{evictedTotal.Get(), rejectedTotal.Get(), longHeads.Get(), stalledWrites.Get()}
}

// Listener accepts a bounded number of connections.
type Listener struct {
	net.Listener
	maxConns int
	heads    *bodybudget.Budget

	mu    sync.Mutex
	count int
	// waiting holds the connections that wait for their clients, the longest wait first.
	waiting *list.List
}

// NewListener returns a listener that accepts up to maxConns connections of ln. heads is the budget for
// heads, which listeners may share.
func NewListener(ln net.Listener, maxConns int, heads *bodybudget.Budget) *Listener {
	return &Listener{Listener: ln, maxConns: maxConns, heads: heads, waiting: list.New()}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, l: l, heads: l.heads.Reserve()}
		victim, ok := l.admit(c)
		if victim != nil {
			evictedTotal.Inc()
			victim.reset()
		}
		if ok {
			return c, nil
		}
		rejectedTotal.Inc()
		c.reset()
	}
}

// admit counts a new connection. If there are too many, it returns the one to close in its place, or false.
func (l *Listener) admit(c *Conn) (victim *Conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count >= l.maxConns {
		front := l.waiting.Front()
		if front == nil {
			return nil, false
		}
		victim = front.Value.(*Conn)
		l.remove(victim)
	}
	l.count++
	c.counted = true
	c.element = l.waiting.PushBack(c)
	if rb, ok := c.Conn.(interface{ SetReadBuffer(int) error }); ok && l.count > l.maxConns/crowdedShare {
		_ = rb.SetReadBuffer(crowdedReceiveBytes) // fails only on a closed connection
	}
	return victim, true
}

// remove ends the counting of a connection. l.mu is held.
func (l *Listener) remove(c *Conn) {
	if !c.counted {
		return
	}
	c.counted = false
	l.count--
	l.stopWaiting(c)
}

func (l *Listener) stopWaiting(c *Conn) {
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
}

// wait records that a connection waits for its client from now on, serve that its request is being served.
func (l *Listener) wait(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.counted {
		return
	}
	l.stopWaiting(c)
	c.element = l.waiting.PushBack(c)
}

func (l *Listener) serve(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopWaiting(c)
}
