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
	// settleTime is how long after a change hosts that nothing disturbs may take
	// to act on it.
	settleTime = 3 * time.Second
	// maxLateAttempts is how often a request that has ended three servers may be sent
	// after that.
	maxLateAttempts = 3
	// observationTime is how long such a request is asked for after that. Its keys have
	// a new owner within handover each time that theirs is ended.
	observationTime = 5 * maxHandover
	// callInterval is the pause between its callers' asks.
	callInterval = 50 * time.Millisecond
	fatalKey     = 28264
)

// Callers of a range of keys were refused for seconds, again and again. One
// request ended the server that ran it. Its callers asked again, each time on
// another host and under a new request ID; by then the key had another owner,
// which it ended too: seven when the alarm was raised, four of them after three
// had ended. No host remembered what a request had done to its servers. The
// evidence: the broken sends of every server that ended so have one content in
// common, under IDs that all differ, one send each.
func TestCrashingRequestIsSentToFewServers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ service, route string }{{"sheets", "read.example"}, {"plain", unkeyedRoute}} {
		t.Run(c.service, func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 3, 0)
				for i := range 5 {
					f.addServiceUpstream(c.service, fmt.Sprint(c.service, i))
				}
				f.waitAnswered(c.route, "/x", startupTimeout)
				stop := f.sendFatalRequests(c.route)
				third := f.waitCrashes(3, 6*maxHandover)
				time.Sleep(time.Until(third.Add(settleTime)))
				before := f.crashCount()
				time.Sleep(observationTime)
				if more := f.crashCount() - before; more > maxLateAttempts {
					t.Errorf("it ended %d more servers, from %v after the third on; at most %d may be tried", more, settleTime, maxLateAttempts)
				}
				stop()
				t.Logf("%d servers ended in all", f.crashCount())
				f.waitAnswered(c.route, "/x", maxHandover)
			})
		})
	}
}

// sendFatalRequests has callers ask for the request that ends its servers, on all
// hosts in turn, until the returned function is called.
func (f *testFleet) sendFatalRequests(route string) (stop func()) {
	var stopped atomic.Bool
	done := make(chan struct{})
	f.background.Go(func() {
		defer close(done)
		for n := 0; !stopped.Load() && f.sleep(callInterval); n++ {
			f.hosts[n%len(f.hosts)].callPath("GET", route, fatalPath, fmt.Sprint("fatal-", n), fatalKey)
		}
	})
	return func() {
		stopped.Store(true)
		<-done
	}
}

// waitAnswered waits until a request is answered through every host.
func (f *testFleet) waitAnswered(route, path string, within time.Duration) {
	f.t.Helper()
	start := time.Now()
	for _, h := range f.hosts {
		for n := 0; ; n++ {
			status, body := h.callPath("GET", route, path, fmt.Sprint(h.cfg.Host, "-", start.UnixNano(), "-", n), fatalKey)
			if status == http.StatusOK {
				break
			}
			if time.Since(start) > within {
				f.t.Fatalf("%s is not answered through %s after %v: %d %s", path, h.cfg.Host, time.Since(start), status, body)
			}
			time.Sleep(callInterval)
		}
	}
}

func (f *testFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// waitCrashes waits until the n-th server was ended by a request and returns when
// that was.
func (f *testFleet) waitCrashes(n int, within time.Duration) time.Time {
	f.t.Helper()
	for end := time.Now().Add(within); f.crashCount() < n; time.Sleep(callInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("%d servers ended within %v, want %d", f.crashCount(), within, n)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[n-1]
}

// Every server of a service loses power at one moment, while each runs a page
// that most callers read. All are back a second later. Callers of that page were
// refused from then on for a day: three ends stood against it, and nothing was
// sent any more that could have been answered. They are served again within
// seconds, through every host.
func TestPopularPageIsServedAfterCorrelatedFailures(t *testing.T) {
	all := func(f *testFleet, ups []*rangeowner.Upstream) {
		for _, u := range ups {
			f.crash("plain", u)
		}
	}
	losses := map[string]func(f *testFleet, ups []*rangeowner.Upstream){
		"all at once":  all,
		"half of them": func(f *testFleet, ups []*rangeowner.Upstream) { all(f, ups[:len(ups)/2]) },
		"one by one":   func(f *testFleet, ups []*rangeowner.Upstream) { f.crashOneByOne("plain", ups) },
		"log away": func(f *testFleet, ups []*rangeowner.Upstream) {
			f.log.SetDown(true)
			all(f, ups)
			time.Sleep(entryExpiryDelay + restartDelay)
			f.log.SetDown(false)
		},
		"hosts restarted": func(f *testFleet, ups []*rangeowner.Upstream) {
			all(f, ups)
			time.Sleep(entryExpiryDelay)
			f.stopHosts()
			for i := range 3 {
				f.requestPopularPage(f.startHost(fmt.Sprint("new", i)), callInterval)
			}
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 3, 0)
				var ups []*rangeowner.Upstream
				for i := range 8 {
					ups = append(ups, f.addServiceUpstream("plain", fmt.Sprint("plain", i)))
				}
				f.waitAnswered(unkeyedRoute, "/popular", startupTimeout)
				every := callInterval
				if name == "all at once" {
					every = 10 * time.Millisecond
				}
				for _, h := range f.hosts {
					f.requestPopularPage(h, every)
				}
				time.Sleep(time.Second)
				lose(f, ups)
				time.Sleep(entryExpiryDelay + restartDelay + maxRecoveryTime)
				f.waitAnswered(unkeyedRoute, "/popular", 0)
			})
		})
	}
}

// requestPopularPage has eight callers of a host ask for the popular page, and now and
// then for others, with so long a pause between.
func (f *testFleet) requestPopularPage(h *testHost, every time.Duration) {
	for c := range 8 {
		f.background.Go(func() {
			for n := 0; f.sleep(every); n++ {
				path := "/popular"
				if n%10 == 0 {
					path = fmt.Sprint("/", c, n)
				}
				h.callPath("GET", unkeyedRoute, path, fmt.Sprint(h.cfg.Host, "-", c, "-", n), fatalKey)
			}
		})
	}
}

// crashOneByOne ends upstreams one after the other, each once the one before is back.
func (f *testFleet) crashOneByOne(service string, ups []*rangeowner.Upstream) {
	for _, u := range ups {
		f.crash(service, u)
		time.Sleep(entryExpiryDelay + restartDelay)
	}
}

// backAfterLoss is how long after a loss callers are served again at the latest:
// a page that is refused for it is tried again once in ten seconds.
const maxRecoveryTime = 12 * time.Second

// Three servers have ended under one request. Then every host is stopped and
// others start, which have seen none of it; callers still ask. What the hosts
// knew is in the log service: the new ones refuse the request within the time
// that they are given to settle, and answer others.
func TestNewHostsRefuseKnownCrashingRequests(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 2, 0)
		for i := range 5 {
			f.addServiceUpstream("plain", fmt.Sprint("plain", i))
		}
		f.waitAnswered(unkeyedRoute, "/x", startupTimeout)
		stop := f.sendFatalRequests(unkeyedRoute)
		f.waitCrashes(3, maxHandover)
		time.Sleep(settleTime)
		stop()
		f.stopHosts()
		for i := range 2 {
			f.startHost(fmt.Sprint("new", i))
		}
		f.waitAnswered(unkeyedRoute, "/x", startupTimeout)
		time.Sleep(settleTime)
		before := f.crashCount()
		for n := range 20 {
			if status, body := f.hosts[n%2].callPath("GET", unkeyedRoute, fatalPath, fmt.Sprint("again-", n), fatalKey); status != http.StatusServiceUnavailable {
				t.Errorf("%d %s", status, body)
			}
		}
		if more := f.crashCount() - before; more > 0 {
			t.Errorf("hosts that started later ended %d more servers", more)
		}
	})
}

// Several callers ask for the request that ends its servers at the same time, so that
// each server runs some of it: counted by runs, it must not go on for longer.
func TestConcurrentCrashingRequestsAreLimited(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 0, 0)
		f.grantTTL = 3 * time.Second // keys of an ended owner wait as long for the next one
		for i := range 6 {
			f.startHost(fmt.Sprint("host", i))
		}
		for i := range 8 {
			f.addServiceUpstream("sheets", fmt.Sprint("sheets", i))
		}
		f.waitAnswered("read.example", "/x", startupTimeout)
		f.mu.Lock()
		f.fatalDuration = 100 * time.Millisecond
		f.mu.Unlock()
		var stops []func()
		for range 4 {
			stops = append(stops, f.sendFatalRequests("read.example"))
		}
		f.waitCrashes(3, 6*maxHandover)
		time.Sleep(observationTime)
		for _, stop := range stops {
			stop()
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		// A run ends its server, or is cut off with it, fatalTakes after it began.
		third, late := f.fatalStarts[2].Add(f.fatalDuration), 0
		for _, at := range f.fatalStarts {
			if at.Sub(third) > settleTime {
				late++
			}
		}
		if late > maxLateAttempts {
			t.Errorf("%d runs began more than %v after the third had ended, of %d in all; at most %d", late, settleTime, len(f.fatalStarts), maxLateAttempts)
		}
	})
}
