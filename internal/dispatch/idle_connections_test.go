package dispatch

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

// An upstream ends while this host has only idle connections to it. The host must record that
// it crashed and tell the others, before it restarts under its ID and counts as warm. It must
// not do so for an upstream that closes an idle connection but listens, that is leaving, or whose
// service does not limit cold upstreams.
func TestUpstreamThatEndsWhileIdleHasCrashed(t *testing.T) {
	for _, c := range []struct {
		name                  string
		stopsListening, leave bool
		coldLimit             float64
		wantCrashed           bool
	}{{"ends", true, false, 4, true}, {"closes an idle connection", false, false, 4, false}, {"ends after leaving", true, true, 4, false},
		{"ends in a service without limit", true, false, 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			conns := make(chan net.Conn, 1)
			f := startUpstream(t, func(w io.Writer, conn net.Conn, r *http.Request, n int64) bool {
				conns <- conn
				return echo(w, conn, r, n)
			})
			u := newUpstream("u1", "plain", f)
			h := newHarness(t, u)
			h.views.Load().Desired.Services["plain"].SlowStart = desired.SlowStart{Duration: time.Second, PerSecond: c.coldLimit}
			h.get("read.example", "r1").want(t, http.StatusOK, "")
			h.d.CheckIdleConnections(t.Context())
			if c.leave {
				leaving := *u
				leaving.Leaving = true
				h.setUpstreams(&leaving)
			}
			if c.stopsListening {
				_ = f.ln.Close()
			}
			_ = (<-conns).Close()
			crashed := false
			for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end) && !crashed; time.Sleep(10 * time.Millisecond) {
				h.d.CheckIdleConnections(t.Context())
				for _, n := range h.d.feedback.Notices(time.Now()) {
					crashed = crashed || (n.Upstream == u.ID && n.Crashed)
				}
			}
			if crashed != c.wantCrashed {
				t.Errorf("recorded as crashed: %v, want %v", crashed, c.wantCrashed)
			}
			if sent := f.requestCount.Load(); sent != 1 {
				t.Errorf("the upstream got %d requests, want 1", sent)
			}
		})
	}
}
