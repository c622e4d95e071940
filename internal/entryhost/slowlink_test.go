package entryhost

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/platform"
	"github.com/papayatide/papayatide/platform/standin"
)

const (
	// slowLinkRate is the rate of a slow link of 10 Mbit/s in bytes per second.
	slowLinkRate = 1.25e6
	// largeStateBytes is the size of a desired state with some 5,600 routes.
	largeStateBytes = 1_000_000
	// maxApplyTime is the time within which a published desired state must be in force in a
	// deployment with such links.
	maxApplyTime = 2500 * time.Millisecond
	logAddr      = "log:80"
)

// slowLink limits the rate at which one host receives data from all connections together.
type slowLink struct {
	Network
	mu sync.Mutex
	// freeAt is when the data that is being received has passed the link.
	freeAt time.Time
}

// Dial opens a connection whose received data passes the link.
func (l *slowLink) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := l.Network.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &slowConn{c, l}, nil
}

// pass returns once n bytes have passed the link.
func (l *slowLink) pass(n int) {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / slowLinkRate * float64(time.Second)))
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	time.Sleep(wait)
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.pass(n)
	return n, err
}

// serveLog serves the log service over HTTP at logAddr.
func (f *testFleet) serveLog() {
	ln, err := f.net.Listen(logAddr)
	if err != nil {
		f.t.Fatal(err)
	}
	srv := &http.Server{Handler: standin.Log{Log: f.log}}
	go func() { _ = srv.Serve(ln) }()
	f.t.Cleanup(func() { _ = srv.Close() })
}

// startHostOnSlowLink starts a host that is no candidate and receives everything, the log
// service's responses included, over a slow link.
func (f *testFleet) startHostOnSlowLink(name string) *testHost {
	link := &slowLink{Network: f.net}
	client := &http.Client{Transport: &http.Transport{DialContext: link.Dial}}
	f.t.Cleanup(client.CloseIdleConnections)
	return f.startHostOn(name, nonCandidateCPU, link, platform.NewStore(logAddr, client))
}

// publishLarge publishes a desired state of largeStateBytes that cannot be compressed much.
func (f *testFleet) publishLarge(version int) {
	padding := make([]byte, largeStateBytes*3/4)
	if _, err := rand.Read(padding); err != nil {
		f.t.Fatal(err)
	}
	f.log.Put(metastore.StreamOperators, "state", fmt.Appendf(nil, "%d %s", version, base64.StdEncoding.EncodeToString(padding)))
}

// Guards against a host that never receives a desired state because its transfer over a slow
// link takes longer than the timeout of the call, which is then made again from the start.
func TestLargeDesiredStateReachesHostOnSlowLink(t *testing.T) {
	for _, c := range []struct {
		name string
		// alone isolates the other hosts first, so that the host is the planner.
		alone bool
		// outage has the log service fail for a second before.
		outage   bool
		versions int
	}{{"follower", false, false, 1}, {"follower, two changes", false, false, 2}, {"planner", true, false, 1}, {"planner, after an outage", true, true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 2, 2)
				f.serveLog()
				slow := f.startHostOnSlowLink("slow")
				f.waitServed(slow, startupTimeout)
				if c.alone {
					for _, h := range f.hosts {
						if h != slow {
							f.isolateHost(h)
						}
					}
					time.Sleep(8 * time.Second)
				}
				f.log.SetDown(c.outage)
				time.Sleep(time.Second)
				f.log.SetDown(false)
				for v := range c.versions {
					f.publishLarge(v + 2)
				}
				time.Sleep(maxApplyTime)
				if got := slow.desiredVersion(t); got != int64(c.versions+1) {
					t.Errorf("desired state %d is in force %v after %d was published", got, maxApplyTime, c.versions+1)
				}
			})
		})
	}
}
