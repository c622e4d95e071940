package dispatch

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/view"
)

// An upstream takes eight connections from all hosts together and resets the
// rest, on which requests may already run. One of eight hosts, pressed by ten
// callers at once, opens no more than twice its even part; callers that cannot
// be served in time are told at once when to come back.
func TestConnectionsAreSharedAmongHosts(t *testing.T) {
	var open, most atomic.Int64
	var conns sync.Map
	f := startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, _ int64) bool {
		if _, known := conns.LoadOrStore(c, true); !known {
			if n := open.Add(1); n > most.Load() {
				most.Store(n)
			}
		}
		time.Sleep(30 * time.Millisecond)
		return echo(w, c, r, 0)
	})
	g := newHarness(t, newUpstream("u1", "plain", f))
	g.views.Publish(func(v *view.View) {
		d := *v.Desired
		d.Services = map[string]*desired.Service{"plain": {Name: "plain", MaxConns: 8}}
		v.Desired = &d
	})
	g.d.SetHostCount(8, true)
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			a := g.post("charge.example", fmt.Sprint("c", i))
			if a.status != http.StatusOK && (a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "") {
				t.Errorf("a caller got %d %q, Retry-After %q", a.status, a.body, a.header.Get("Retry-After"))
			}
		})
	}
	wg.Wait()
	if most.Load() > 2 {
		t.Errorf("%d connections opened, this host may have 2", most.Load())
	}
}
