package dispatch

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/ratelimit"
)

// Guards against an upstream that restarts between two checks of its port, also after it has announced
// that it leaves, and then gets the requests of a warm one because the log service is away. An upstream
// with an older connection open has not restarted.
func TestUpstreamThatClosesAllConnectionsMayHaveRestarted(t *testing.T) {
	for _, c := range []struct {
		name               string
		conns, closed      int
		leaving, midResult bool
		wantCold           bool
	}{{"all", 2, 2, false, false, true}, {"all while leaving", 2, 2, true, false, true}, {"one of two", 2, 1, false, false, false},
		{"the only one, with a response", 1, 1, false, true, true}} {
		t.Run(c.name, func(t *testing.T) {
			conns, release := make(chan net.Conn, c.conns), make(chan struct{})
			f := startUpstream(t, func(w io.Writer, conn net.Conn, r *http.Request, n int64) bool {
				if int(n) <= c.conns {
					conns <- conn
					<-release // so that each request has a connection of its own
				}
				return !c.midResult && echo(w, conn, r, n)
			})
			u := newUpstream("u1", "plain", f)
			h := newHarness(t, u)
			h.views.Load().Desired.Services["plain"].SlowStart = desired.SlowStart{Duration: 3 * time.Second, PerSecond: 4}
			done := make(chan struct{})
			for i := range c.conns {
				go func() {
					h.get("read.example", "r"+string(rune('1'+i)))
					done <- struct{}{}
				}()
			}
			var opened []net.Conn
			for range c.conns {
				opened = append(opened, <-conns)
			}
			close(release)
			for range c.conns {
				<-done
			}
			if c.leaving {
				leaving := *u
				leaving.HandoverBy = time.Now().Add(time.Minute)
				h.setUpstreams(&leaving)
			}
			for _, conn := range opened[:c.closed] {
				_ = conn.Close()
			}
			share := balance.SlowStart{Duration: 3 * time.Second, Share: func() ratelimit.HostRate { return 0 }}
			cold := false
			for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end) && !cold; time.Sleep(10 * time.Millisecond) {
				h.d.CheckIdleConnections(t.Context())
				cold = !h.d.picker.SlowStartAllows(&catalogue.Upstream{ID: u.ID}, share, time.Now())
			}
			if cold != c.wantCold {
				t.Errorf("cold: %v, want %v", cold, c.wantCold)
			}
		})
	}
}
