package entryhost

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/protocol"
	"github.com/papayatide/papayatide/internal/standin/memstore"
	"github.com/papayatide/papayatide/internal/standin/pipenet"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

var testHeaders = protocol.Headers{RequestID: "X-Id", TimeoutMs: "X-Timeout-Ms", Signature: "X-Signature", ExpectedUpstream: "X-Expect", ServerID: "X-Server-Id",
	NotRun: "X-Not-Run", Key: "X-Key", RateLimit: "X-Limit", Leaving: "X-Leaving"}

// testFleet runs entry hosts, a log service and upstreams on an in-memory network
// and a synthetic clock, so that order and timing don't depend on the machine's
// load.
type testFleet struct {
	t         *testing.T
	log       *memstore.Log
	net       *pipenet.Network
	http      *http.Client
	hosts     []*testHost
	mu        sync.Mutex
	upstreams map[string]*rangeowner.Upstream
	// crashes holds the times at which requests crashed upstreams.
	crashes []time.Time
	// grantTTL is the grant TTL of the hosts that are started from now on.
	grantTTL time.Duration
	// grants are the grants that upstreams have accepted.
	grants []acceptedGrant
	// entryWrites counts the entries that upstreams have written; they are numbered by it.
	entryWrites atomic.Int64
	// fatalDuration is how long a fatal request runs before it crashes its upstream.
	// fatalStarts holds when each of these requests began to run.
	fatalDuration time.Duration
	fatalStarts   []time.Time
	// testEnded is closed when the test ends. background waits for the goroutines
	// that stop then.
	testEnded  chan struct{}
	background sync.WaitGroup
}

// runFleetTest runs test on a synthetic clock, in parallel with other tests.
func runFleetTest(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, test)
}

// fleetClock returns the time of the synthetic clock.
func fleetClock() bootclock.Time { return bootclock.Time(time.Now().UnixNano()) }

// newFleet starts hosts, and upstreams of the keyed service. They stop when the
// test ends.
func newFleet(t *testing.T, hosts, upstreams int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, log: memstore.New(), net: pipenet.New(), upstreams: map[string]*rangeowner.Upstream{}, grantTTL: time.Second, testEnded: make(chan struct{})}
	f.http = &http.Client{Transport: &http.Transport{DialContext: f.net.Dial}}
	f.log.Put(metastore.StreamOperators, "state", []byte("1"))
	for i := range upstreams {
		f.addUpstream(fmt.Sprint("u", i))
	}
	t.Cleanup(f.stopAll)
	for i := range hosts {
		f.startHost(fmt.Sprint("host", i))
	}
	return f
}

// stopAll kills the upstreams and stops the hosts.
func (f *testFleet) stopAll() {
	close(f.testEnded)
	f.background.Wait()
	f.mu.Lock()
	for _, u := range f.upstreams {
		u.Kill()
	}
	f.mu.Unlock()
	f.stopHosts()
	f.http.CloseIdleConnections()
}

// stopHosts stops all hosts and waits until they have stopped.
func (f *testFleet) stopHosts() {
	for _, h := range f.hosts {
		h.stop()
	}
	for _, h := range f.hosts {
		select {
		case err := <-h.done:
			if err != nil {
				f.t.Errorf("%s stopped with error: %v", h.cfg.Host, err)
			}
		case <-time.After(10 * time.Second):
			f.t.Errorf("%s did not stop in time", h.cfg.Host)
		}
	}
	f.hosts = nil
}

// waitServed waits until the host serves ten keys that are spread evenly over all
// keys, and returns how long that took.
func (f *testFleet) waitServed(h *testHost, within time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for k := 0; k < 10; {
		status, body := h.call("GET", "read.example", fmt.Sprint("probe-", time.Now().UnixNano()), k*6553)
		if status == http.StatusOK {
			k++
			continue
		}
		if time.Since(start) > within {
			f.t.Fatalf("key %d is not served after %v: %d %s", k*6553, time.Since(start), status, body)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}
