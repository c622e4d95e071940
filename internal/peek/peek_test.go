package peek

import (
	"net"
	"testing"
	"time"
)

// The state of a connection is told while another goroutine waits to read from
// it, as net/http does for the end of a caller's connection.
func TestConnState(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	far, err := net.Dial("tcp4", ln.Addr().String())
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
		for end := time.Now().Add(time.Second); Conn(c) != s; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state %d, want %d", Conn(c), s)
			}
		}
	}
	want(Idle)
	if _, err := far.Write([]byte("xy")); err != nil {
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
	_ = far.Close()
	<-reading
	want(Closed)
	if Conn(struct{ net.Conn }{c}) != Unknown {
		t.Error("a connection that cannot be looked at has a state")
	}
}
