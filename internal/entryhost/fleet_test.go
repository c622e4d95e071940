package entryhost

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

const (
	testGrantTTL   = time.Second
	startupTimeout = 5 * time.Second
	// maxFailover bounds the time until a lost upstream's keys are served by others.
	maxFailover = testGrantTTL + testGrantTTL/2 + time.Second
)

// Every host must serve all keys soon after the fleet starts.
func TestFleetServesEveryKey(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		for _, h := range f.hosts {
			f.waitServed(h, startupTimeout)
		}
	})
}

// An upstream crashes. Once its grants have expired, every host must serve its keys
// through other upstreams.
func TestLostUpstreamsKeysAreServedByOthers(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		f.waitServed(f.hosts[0], startupTimeout)
		var lost *rangeowner.Upstream
		for _, u := range f.upstreams {
			lost = u
			break
		}
		f.killUpstream(lost)
		for _, h := range f.hosts {
			t.Logf("served again after %v", f.waitServed(h, maxFailover))
		}
	})
}

// Two seconds after an upstream announces that it is leaving, it must get no new
// requests, and other upstreams must serve its keys.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		f.waitServed(f.hosts[0], startupTimeout)
		var leaving *rangeowner.Upstream
		for _, u := range f.upstreams {
			leaving = u
			break
		}
		f.register(leaving, true)
		f.waitServed(f.hosts[1], 2*time.Second)
		before := len(leaving.Runs())
		for k := range 200 {
			f.hosts[k%2].call("GET", "read.example", fmt.Sprint("after-", k), k*327)
		}
		if after := len(leaving.Runs()); after != before {
			t.Errorf("%d requests reached the upstream after it announced that it was leaving", after-before)
		}
	})
}

// The planner's host is shut down gracefully. It must report unready at once and
// respond to the requests in flight. Another host must take over as the planner
// without any key being unserved.
func TestGracefulShutdownOfPlanner(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		f.waitServed(f.hosts[0], startupTimeout)
		var planner, other *testHost
		for _, h := range f.hosts {
			if h.cfg.Host == f.log.LeaseHolder() {
				planner = h
			} else {
				other = h
			}
		}
		if planner == nil {
			t.Fatal("no host holds the planner lease")
		}
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				if status, body := planner.call("POST", "charge.example", fmt.Sprint("stop-", i), i*3000); status != http.StatusOK {
					t.Errorf("a request in flight at the shutdown got %d %s", status, body)
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		planner.stop()
		time.Sleep(20 * time.Millisecond)
		if planner.ready() {
			t.Error("host is still ready after its shutdown began")
		}
		wg.Wait()
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			if status, body := other.call("GET", "read.example", fmt.Sprint("on-", time.Now().UnixNano()), 12345); status != http.StatusOK {
				t.Fatalf("a key is unserved during the change of planner: %d %s", status, body)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// The log service is down for longer than the grant TTL. Owners must keep serving
// their keys meanwhile, and every host must serve all keys soon after.
func TestKeysAreServedDuringLogOutage(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		f.waitServed(f.hosts[0], startupTimeout)
		f.log.SetDown(true)
		for end := time.Now().Add(testGrantTTL + testGrantTTL/2); time.Now().Before(end); {
			if status, body := f.hosts[0].call("GET", "read.example", fmt.Sprint("out-", time.Now().UnixNano()), 12345); status != http.StatusOK {
				t.Fatalf("a key is unserved while the log is down: %d %s", status, body)
			}
			time.Sleep(20 * time.Millisecond)
		}
		f.log.SetDown(false)
		for _, h := range f.hosts {
			f.waitServed(h, 2*time.Second)
		}
	})
}

// The log service discards its history. Hosts must continue from the newest record
// of each key, and later changes must reach all of them.
func TestHostsContinueAfterLogCompaction(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 2, 2)
		f.waitServed(f.hosts[0], startupTimeout)
		f.log.Compact()
		added := f.addUpstream("late")
		for _, u := range f.upstreams {
			if u != added {
				f.register(u, true)
			}
		}
		for _, h := range f.hosts {
			f.waitServed(h, maxFailover)
		}
	})
}

// All hosts follow the planner's replica of the log, so the number of reads from
// the log service must not grow with the number of hosts.
func TestLogReadsDoNotGrowWithFleetSize(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		reads := func(hosts int) int {
			f := newFleet(t, hosts, 3)
			for _, h := range f.hosts {
				f.waitServed(h, startupTimeout)
			}
			time.Sleep(time.Second)
			before := f.log.Calls("read")
			time.Sleep(2 * time.Second)
			return f.log.Calls("read") - before
		}
		few, many := reads(2), reads(6)
		t.Logf("reads in two seconds: %d with 2 hosts, %d with 6", few, many)
		if many > few+4 {
			t.Errorf("%d reads with 6 hosts, %d with 2", many, few)
		}
	})
}
