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

// An upstream accepts eight connections from all hosts together and resets further
// ones, on which requests may already run. One of eight hosts, with ten concurrent
// callers, must open at most two, which is twice its equal share. Callers that cannot
// be served in time must get 503 with a Retry-After header.
func TestConnectionsAreSharedAmongHosts(t *testing.T) {
	// opened counts the connections ever opened; highestOpened is its highest value seen.
	var opened, highestOpened atomic.Int64
	var conns sync.Map
	f := startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, _ int64) bool {
		if _, known := conns.LoadOrStore(c, true); !known {
			if n := opened.Add(1); n > highestOpened.Load() {
				highestOpened.Store(n)
			}
		}
		time.Sleep(30 * time.Millisecond)
		return echo(w, c, r, 0)
	})
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.views.Publish(func(v *view.View) {
		d := *v.Desired
		d.Services = map[string]*desired.Service{"plain": {Name: "plain", MaxConns: 8}}
		v.Desired = &d
	})
	h.d.SetHostCount(8, true)
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			resp := h.post("charge.example", fmt.Sprint("c", i))
			if resp.status != http.StatusOK && (resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "") {
				t.Errorf("a caller got %d %q, Retry-After %q", resp.status, resp.body, resp.header.Get("Retry-After"))
			}
		})
	}
	wg.Wait()
	if highestOpened.Load() > 2 {
		t.Errorf("%d connections opened, want 2 at most", highestOpened.Load())
	}
}
