package lingering

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// listen returns a lingering listener on the loopback interface.
func listen(t *testing.T) *Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(ln, DefaultMaxConns)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// connect returns both ends of a connection to l. The peer's receive buffer holds a few kilobytes.
func connect(t *testing.T, l net.Listener) (peer *net.TCPConn, accepted net.Conn) {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	peer = c.(*net.TCPConn)
	if err := peer.SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return peer, accepted
}

const responseBytes = 256 << 10

// Guards against responses that are lost when a server closes a connection and the caller, which has not
// read that far yet, sends its next request.
func TestResponseIsCompleteAlthoughCallerSendsAfterTheClose(t *testing.T) {
	for _, lingers := range []bool{true, false} {
		l := listen(t)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = w.Write(make([]byte, responseBytes))
		})}
		var ln net.Listener = l
		if !lingers {
			ln = l.Listener
		}
		closed := make(chan struct{})
		server.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateClosed {
				close(closed)
			}
		}
		go func() { _ = server.Serve(ln) }()
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		request := []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		_, _ = c.Write(request)
		<-closed
		_, _ = c.Write(request)
		time.Sleep(50 * time.Millisecond)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
		}
		if lingers != (err == nil) {
			t.Errorf("lingers %v: %v", lingers, err)
		}
		_ = c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		l.Wait(ctx)
		if ctx.Err() != nil {
			t.Error("the connection lingers although the caller has closed it")
		}
		cancel()
	}
}

// Guards against stops that callers hold up: one that keeps an idle connection open, and one that never
// reads its response.
func TestWaitEndsAlthoughPeersDoNotClose(t *testing.T) {
	l := listen(t)
	_, idle := connect(t, l)
	_ = idle.Close()
	start := time.Now()
	l.Wait(context.Background())
	if took := time.Since(start); took > 2*maxIdle {
		t.Errorf("waited %v for an idle connection", took)
	}
	_, unread := connect(t, l)
	if err := unread.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := unread.Write(make([]byte, 64<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("setup: the peer's kernel has received everything: ", err)
	}
	_ = unread.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*maxIdle)
	defer cancel()
	l.Wait(ctx)
	if ctx.Err() == nil {
		t.Error("did not wait for a peer that has not received everything")
	}
}

// Guards against requests that are served after the connection was closed: what arrives later is
// discarded, also by a read that was pending.
func TestNothingIsReadAfterClose(t *testing.T) {
	l := listen(t)
	peer, accepted := connect(t, l)
	type result struct {
		n   int
		err error
	}
	pending := make(chan result, 1)
	go func() {
		n, err := accepted.Read(make([]byte, 100))
		pending <- result{n, err}
	}()
	time.Sleep(20 * time.Millisecond)
	_ = accepted.Close()
	_, _ = peer.Write([]byte("a request"))
	if r := <-pending; r.n != 0 || !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("the pending read returned %d bytes and %v", r.n, r.err)
	}
	if n, err := accepted.Read(make([]byte, 100)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("a read after the close returned %d bytes and %v", n, err)
	}
	if err := accepted.SetReadDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the read deadline can be changed after the close: %v", err)
	}
	_ = peer.SetReadDeadline(time.Now().Add(time.Second))
	if rest, err := io.ReadAll(peer); err != nil || len(rest) > 0 {
		t.Errorf("the peer reads %q and %v, want the end of the connection", bytes.TrimSpace(rest), err)
	}
}

// Guards against memory that callers fill with closed connections.
func TestNumberOfLingeringConnectionsIsBounded(t *testing.T) {
	l := listen(t)
	for range DefaultMaxConns {
		if !l.begin() {
			t.Fatal("refused below the bound")
		}
	}
	peer, accepted := connect(t, l)
	_ = accepted.Close()
	_ = peer.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = peer.Write([]byte("a request"))
	time.Sleep(20 * time.Millisecond)
	if _, err := peer.Write([]byte("a request")); err == nil {
		t.Error("one more connection lingers")
	}
	if l.count != DefaultMaxConns {
		t.Errorf("%d connections are counted", l.count)
	}
}
