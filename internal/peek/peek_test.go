package peek

import (
	"net"
	"testing"
	"time"
)

// The state must be right while another goroutine waits to read, as net/http does to
// detect that a client closes its connection: a call that waited for that read would
// never detect the close in time.
func TestConnState(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	remote, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	want := func(s State) {
		t.Helper()
		for end := time.Now().Add(time.Second); ConnState(c) != s; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state %d, want %d", ConnState(c), s)
			}
		}
	}
	want(Idle)
	if _, err := remote.Write([]byte("xy")); err != nil {
		t.Fatal(err)
	}
	want(Readable)
	var b [2]byte
	if _, err := c.Read(b[:]); err != nil {
		t.Fatal(err)
	}
	reading := make(chan struct{})
	go func() { _, _ = c.Read(b[:]); close(reading) }()
	time.Sleep(10 * time.Millisecond)
	want(Idle)
	_ = remote.Close()
	<-reading
	want(Closed)
	if ConnState(struct{ net.Conn }{c}) != Unknown {
		t.Error("a connection without a socket has a state other than Unknown")
	}
}
