package dispatch

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// pausedListener hands connections out only once resume is closed, like a host
// that has no processor for a while.
type pausedListener struct {
	net.Listener
	resume chan struct{}
}

func (l pausedListener) Accept() (net.Conn, error) {
	<-l.resume
	return l.Listener.Accept()
}

// A host stands still for a while. Callers send requests, wait, and close their
// connections. Then the host goes on and reads the requests: none may reach an
// upstream, which would work for nobody, for a second and more.
func TestRequestsOfDisconnectedCallersAreNotSent(t *testing.T) {
	f := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "plain", f))
	g.get("read.example", "warm").want(t, http.StatusOK, "") // a kept connection
	const callers = 60
	resume := make(chan struct{})
	front := httptest.NewUnstartedServer(g.d)
	front.Config.ConnContext = WithCaller
	front.Listener = pausedListener{front.Listener, resume}
	front.Start()
	t.Cleanup(front.Close)
	for i := range callers {
		c, err := net.Dial("tcp4", front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(c, "GET /a HTTP/1.1\r\nHost: read.example\r\nX-Id: left-%d\r\nX-Timeout-Ms: 5000\r\n\r\n", i); err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	close(resume)
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		g.mu.Lock()
		ended := len(g.summaries)
		g.mu.Unlock()
		if ended >= callers+1 || time.Now().After(end) {
			break
		}
	}
	if n := f.requestCount.Load() - 1; n > 0 {
		t.Errorf("%d of %d requests reached the upstream after their callers had left", n, callers)
	}
}
