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
	maxHandover    = testGrantTTL + testGrantTTL/2 + time.Second
)

// Every key is served through every host soon after the fleet starts.
func TestFleetServesEveryKey(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		for _, h := range f.hosts {
			f.waitServed(h, startupTimeout)
		}
	})
}

// An upstream dies. Its keys are served again by others once its lease has
// run out, through all hosts.
func TestLostUpstreamsKeysAreServedByOthers(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		f.waitServed(f.hosts[0], startupTimeout)
		var victim *rangeowner.Upstream
		for _, u := range f.upstreams {
			victim = u
			break
		}
		f.killUpstream(victim)
		for _, h := range f.hosts {
			t.Logf("served again after %v", f.waitServed(h, maxHandover))
		}
	})
}

// An upstream announces that it leaves. Within two seconds it gets nothing
// new, and its keys are served by others, warm.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		f.waitServed(f.hosts[0], startupTimeout)
		var leaver *rangeowner.Upstream
		for _, u := range f.upstreams {
			leaver = u
			break
		}
		f.register(leaver, true)
		f.waitServed(f.hosts[1], 2*time.Second)
		before := len(leaver.Runs())
		for k := range 200 {
			f.hosts[k%2].call("GET", "read.example", fmt.Sprint("after-", k), k*327)
		}
		if after := len(leaver.Runs()); after != before {
			t.Errorf("%d requests reached it after it left", after-before)
		}
	})
}

// The planner's host is stopped as planned: it reports unready at once,
// answers what is under way, and another host plans on without a key being
// unserved.
func TestPlannedStopOfPlanner(t *testing.T) {
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
			t.Fatal("no host holds the seat")
		}
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				if status, body := planner.call("POST", "charge.example", fmt.Sprint("stop-", i), i*3000); status != http.StatusOK {
					t.Errorf("a request under way at the stop got %d %s", status, body)
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		planner.stop()
		time.Sleep(20 * time.Millisecond)
		if planner.ready() {
			t.Error("still ready after the stop signal")
		}
		wg.Wait()
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			if status, body := other.call("GET", "read.example", fmt.Sprint("on-", time.Now().UnixNano()), 12345); status != http.StatusOK {
				t.Fatalf("a key is unserved while planners change: %d %s", status, body)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// The log service is down for longer than a grant lasts. Keys go on being
// served from what was agreed before, and the desired state published
// meanwhile comes into force soon after.
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

// The log forgets its history. Hosts go on from the newest records, and what
// changes afterwards reaches them all.
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
			f.waitServed(h, maxHandover)
		}
	})
}

// All hosts follow the planner's copy: what the log service is asked does
// not grow with the number of hosts.
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
