package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/pipeline"
)

// pausedListener accepts no connections until resume is closed, like a host that gets
// no CPU for a while.
type pausedListener struct {
	net.Listener
	resume chan struct{}
}

func (l pausedListener) Accept() (net.Conn, error) {
	<-l.resume
	return l.Listener.Accept()
}

// While a host is stalled, callers send requests and close their connections. When
// the host runs again it reads these requests. None may reach an upstream, which would
// work on requests without a caller for a second or more.
func TestRequestsOfDisconnectedCallersAreNotSent(t *testing.T) {
	t.Run("net/http", func(t *testing.T) { testDisconnectedCallers(t, false) })
	t.Run("read ahead", func(t *testing.T) { testDisconnectedCallers(t, true) })
}

func testDisconnectedCallers(t *testing.T, readAhead bool) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.get("read.example", "warm").want(t, http.StatusOK, "") // leaves an idle connection in the pool
	const callers = 60
	resume := make(chan struct{})
	front := httptest.NewUnstartedServer(h.d)
	front.Config.ConnContext = WithCaller
	front.Listener = pausedListener{front.Listener, resume}
	if readAhead {
		p := &pipeline.Server{Handler: h.d, Idempotent: func(*http.Request) bool { return true }, Stopping: func() bool { return false }}
		front.Config.Handler, front.Listener = p, p.Listen(front.Listener)
		front.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return WithCaller(pipeline.ConnContext(ctx, c), pipeline.NetConn(c))
		}
	}
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
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		h.mu.Lock()
		finished := len(h.summaries)
		h.mu.Unlock()
		if finished >= callers+1 || time.Now().After(deadline) {
			break
		}
	}
	if n := f.requestCount.Load() - 1; n > 0 {
		t.Errorf("%d of %d requests reached the upstream after their callers had disconnected", n, callers)
	}
}
