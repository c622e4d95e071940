package entryhost

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

const (
	// settleTime is how long hosts may take to act on a change when nothing else
	// disturbs them.
	settleTime = 3 * time.Second
	// maxLateAttempts is how often a request that has crashed three servers may be
	// sent later than settleTime after the third crash.
	maxLateAttempts = 3
	// observationTime is how long tests count these attempts. Each time the key's owner
	// crashes, the key has a new owner within maxFailover.
	observationTime = 5 * maxFailover
	// callInterval is the pause between the requests of one caller.
	callInterval = 50 * time.Millisecond
	// testKey is the key of all requests in these tests.
	testKey = 28264
)

// A request that crashes its server is retried by its callers, on other hosts and under new
// request IDs, and crashes the next owner of its key. If hosts don't recognize it by the
// fingerprint that its broken sends have in common, it can crash seven servers in a row, four
// of them after the first three, and a range of keys is unserved for seconds each time.
func TestCrashingRequestIsSentToFewServers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ service, route string }{{"sheets", "read.example"}, {"plain", unkeyedRoute}} {
		t.Run(c.service, func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 3, 0)
				for i := range 5 {
					f.addServiceUpstream(c.service, fmt.Sprint(c.service, i))
				}
				f.waitPathServed(c.route, "/x", startupTimeout)
				stop := f.sendFatalRequests(c.route)
				thirdCrash := f.waitCrashes(3, 6*maxFailover)
				time.Sleep(time.Until(thirdCrash.Add(settleTime)))
				before := f.crashCount()
				time.Sleep(observationTime)
				if more := f.crashCount() - before; more > maxLateAttempts {
					t.Errorf("the request crashed %d more servers later than %v after the third crash; at most %d are allowed", more, settleTime, maxLateAttempts)
				}
				stop()
				t.Logf("%d servers crashed in all", f.crashCount())
				f.waitPathServed(c.route, "/x", maxFailover)
			})
		})
	}
}

// sendFatalRequests has a caller send the request that crashes its servers to all
// hosts in turn, until the returned function is called.
func (f *testFleet) sendFatalRequests(route string) (stop func()) {
	var stopped atomic.Bool
	done := make(chan struct{})
	f.background.Go(func() {
		defer close(done)
		for n := 0; !stopped.Load() && f.sleep(callInterval); n++ {
			f.hosts[n%len(f.hosts)].callPath("GET", route, fatalPath, fmt.Sprint("fatal-", n), testKey)
		}
	})
	return func() {
		stopped.Store(true)
		<-done
	}
}

// waitPathServed waits until every host responds to a request for the path with 200.
func (f *testFleet) waitPathServed(route, path string, within time.Duration) {
	f.t.Helper()
	start := time.Now()
	for _, h := range f.hosts {
		for n := 0; ; n++ {
			status, body := h.callPath("GET", route, path, fmt.Sprint(h.cfg.Host, "-", start.UnixNano(), "-", n), testKey)
			if status == http.StatusOK {
				break
			}
			if time.Since(start) > within {
				f.t.Fatalf("%s is not served through %s after %v: %d %s", path, h.cfg.Host, time.Since(start), status, body)
			}
			time.Sleep(callInterval)
		}
	}
}

// crashCount returns how many servers requests have crashed.
func (f *testFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// waitCrashes waits for the n-th crash of a server by a request and returns its
// time.
func (f *testFleet) waitCrashes(n int, within time.Duration) time.Time {
	f.t.Helper()
	for end := time.Now().Add(within); f.crashCount() < n; time.Sleep(callInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("%d servers crashed within %v, want %d", f.crashCount(), within, n)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[n-1]
}

// All servers of a service lose power at the same moment, each while it processes a request
// for a page that most callers request, and are back a second later. If these crashes count
// against the page's fingerprint, hosts refuse the page for a day, and send nothing that could
// show it harmless.
// After this and other correlated failures, every host must serve it within maxRecoveryTime.
func TestPopularPageIsServedAfterCorrelatedFailures(t *testing.T) {
	crashAll := func(f *testFleet, ups []*rangeowner.Upstream) {
		for _, u := range ups {
			f.crash("plain", u)
		}
	}
	failures := map[string]func(f *testFleet, ups []*rangeowner.Upstream){
		"all at once":  crashAll,
		"half of them": func(f *testFleet, ups []*rangeowner.Upstream) { crashAll(f, ups[:len(ups)/2]) },
		"one by one":   func(f *testFleet, ups []*rangeowner.Upstream) { f.crashOneByOne("plain", ups) },
		"during log outage": func(f *testFleet, ups []*rangeowner.Upstream) {
			f.log.SetDown(true)
			crashAll(f, ups)
			time.Sleep(entryExpiryDelay + restartDelay)
			f.log.SetDown(false)
		},
		"hosts replaced": func(f *testFleet, ups []*rangeowner.Upstream) {
			crashAll(f, ups)
			time.Sleep(entryExpiryDelay)
			f.stopHosts()
			for i := range 3 {
				f.requestPopularPage(f.startHost(fmt.Sprint("new", i)), callInterval)
			}
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 3, 0)
				var ups []*rangeowner.Upstream
				for i := range 8 {
					ups = append(ups, f.addServiceUpstream("plain", fmt.Sprint("plain", i)))
				}
				f.waitPathServed(unkeyedRoute, "/popular", startupTimeout)
				interval := callInterval
				if name == "all at once" {
					interval = 10 * time.Millisecond
				}
				for _, h := range f.hosts {
					f.requestPopularPage(h, interval)
				}
				time.Sleep(time.Second)
				fail(f, ups)
				time.Sleep(entryExpiryDelay + restartDelay + maxRecoveryTime)
				f.waitPathServed(unkeyedRoute, "/popular", 0)
			})
		})
	}
}

// requestPopularPage has eight callers of a host request the popular page, and
// every tenth time another one, until the test ends. Each pauses for the interval
// between its requests.
func (f *testFleet) requestPopularPage(h *testHost, interval time.Duration) {
	for c := range 8 {
		f.background.Go(func() {
			for n := 0; f.sleep(interval); n++ {
				path := "/popular"
				if n%10 == 0 {
					path = fmt.Sprint("/", c, n)
				}
				h.callPath("GET", unkeyedRoute, path, fmt.Sprint(h.cfg.Host, "-", c, "-", n), testKey)
			}
		})
	}
}

// crashOneByOne crashes upstreams one after the other, each once the previous one
// is back.
func (f *testFleet) crashOneByOne(service string, ups []*rangeowner.Upstream) {
	for _, u := range ups {
		f.crash(service, u)
		time.Sleep(entryExpiryDelay + restartDelay)
	}
}

// maxRecoveryTime is the longest time from correlated failures until callers are
// served again. The first trial request with a fingerprint that is refused because of
// them is sent ten seconds after the last crash.
const maxRecoveryTime = 12 * time.Second

// A request has crashed three servers. Then all hosts are replaced by new ones,
// which have seen none of the crashes. The new hosts must learn of them from the
// log: within settleTime they must refuse the request, and serve others.
func TestNewHostsRefuseKnownCrashingRequests(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 2, 0)
		for i := range 5 {
			f.addServiceUpstream("plain", fmt.Sprint("plain", i))
		}
		f.waitPathServed(unkeyedRoute, "/x", startupTimeout)
		stop := f.sendFatalRequests(unkeyedRoute)
		f.waitCrashes(3, maxFailover)
		time.Sleep(settleTime)
		stop()
		f.stopHosts()
		for i := range 2 {
			f.startHost(fmt.Sprint("new", i))
		}
		f.waitPathServed(unkeyedRoute, "/x", startupTimeout)
		time.Sleep(settleTime)
		before := f.crashCount()
		for n := range 20 {
			if status, body := f.hosts[n%2].callPath("GET", unkeyedRoute, fatalPath, fmt.Sprint("again-", n), testKey); status != http.StatusServiceUnavailable {
				t.Errorf("%d %s", status, body)
			}
		}
		if more := f.crashCount() - before; more > 0 {
			t.Errorf("requests through the new hosts crashed %d more servers", more)
		}
	})
}

// Several callers send the request that crashes its servers at the same time, so
// that a server may run it more than once. The number of late runs must be bounded
// as for one caller.
func TestConcurrentCrashingRequestsAreLimited(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 0, 0)
		f.grantTTL = 3 * time.Second // a crashed owner's keys are unserved for that long
		for i := range 6 {
			f.startHost(fmt.Sprint("host", i))
		}
		for i := range 8 {
			f.addServiceUpstream("sheets", fmt.Sprint("sheets", i))
		}
		f.waitPathServed("read.example", "/x", startupTimeout)
		f.mu.Lock()
		f.fatalDuration = 100 * time.Millisecond
		f.mu.Unlock()
		var stops []func()
		for range 4 {
			stops = append(stops, f.sendFatalRequests("read.example"))
		}
		f.waitCrashes(3, 6*maxFailover)
		time.Sleep(observationTime)
		for _, stop := range stops {
			stop()
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		// A run ends within fatalDuration of its start: it crashes its server, or another
		// run does so first.
		thirdRunEnd, lateRuns := f.fatalStarts[2].Add(f.fatalDuration), 0
		for _, start := range f.fatalStarts {
			if start.Sub(thirdRunEnd) > settleTime {
				lateRuns++
			}
		}
		if lateRuns > maxLateAttempts {
			t.Errorf("%d runs began more than %v after the third one had ended, of %d in all; at most %d are allowed", lateRuns, settleTime, len(f.fatalStarts), maxLateAttempts)
		}
	})
}
