package ingress

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/papayatide/papayatide/internal/bodybudget"
)

// queue is a listener of connections in memory.
type queue struct {
	net.Listener
	conns chan net.Conn
}

func (q queue) Accept() (net.Conn, error) {
	c, ok := <-q.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// dial opens a connection and returns the client's end.
func (q queue) dial() net.Conn {
	client, server := net.Pipe()
	q.conns <- server
	return client
}

func accept(t *testing.T, l *Listener, q queue) (*Conn, net.Conn) {
	t.Helper()
	client := q.dial()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return c.(*Conn), client
}

// wantClosed fails unless the process has closed the client's connection.
func wantClosed(t *testing.T, client net.Conn) {
	t.Helper()
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read %v, want the end", err)
	}
}

// Guards against clients that occupy all connections: the one that has waited longest for its client must
// make room for a new one, and none whose request is being served.
func TestLongestWaitMakesRoom(t *testing.T) {
	q := queue{conns: make(chan net.Conn, 1)}
	l := newTestListener(q, 3)
	first, _ := accept(t, l, q)
	second, secondClient := accept(t, l, q)
	third, thirdClient := accept(t, l, q)
	first.beginRequest(false)
	third.beginRequest(true)
	accept(t, l, q)
	wantClosed(t, secondClient)
	_ = second.Close()
	accept(t, l, q)
	wantClosed(t, thirdClient)
	first.endRequest()
	if l.count != 3 || l.waiting.Len() != 3 {
		t.Errorf("%d connections, %d of them waiting; want 3, 3", l.count, l.waiting.Len())
	}
}

// Guards against a request being cut off because others connect: a new connection is closed instead.
func TestServedRequestsKeepTheirConnections(t *testing.T) {
	q := queue{conns: make(chan net.Conn, 1)}
	l := newTestListener(q, 2)
	for _, hasBody := range []bool{false, true} {
		c, _ := accept(t, l, q)
		c.beginRequest(hasBody)
		c.bodyRead()
	}
	client := q.dial()
	close(q.conns)
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accepted, %v", err)
	}
	wantClosed(t, client)
	if l.count != 2 {
		t.Errorf("%d connections, want 2", l.count)
	}
}

// Guards against incomplete heads that fill the memory: beyond what each connection has for itself they share
// a budget, which is given back when the request or the connection ends.
func TestIncompleteHeadsShareMemory(t *testing.T) {
	q := queue{conns: make(chan net.Conn, 1)}
	l := newTestListener(q, 100)
	head := []byte(strings.Repeat("a:\r\n", 300))
	var open []*Conn
	for {
		c, _ := accept(t, l, q)
		if !c.chargeHead(head) {
			break
		}
		if open = append(open, c); len(open) > 10 {
			t.Fatal("no bound")
		}
	}
	if len(open) == 0 {
		t.Fatal("a single head has no room")
	}
	c, _ := accept(t, l, q)
	if !c.chargeHead(head[:200]) {
		t.Error("no room for a short head")
	}
	for i, c := range open {
		if i%2 == 0 {
			c.beginRequest(false)
			c.endRequest()
		}
		_ = c.Close()
	}
	if n := l.heads.InUse(); n != 0 {
		t.Errorf("%d bytes in use", n)
	}
}

func newTestListener(q queue, maxConns int) *Listener {
	return NewListener(q, maxConns, bodybudget.New(100<<10))
}
