package entryhost

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

// burst is how many requests above a rate limit may arrive at once.
const burst = 2

// testServices are the services of the desired state and the routes to them.
var testServices = []struct{ name, route string }{{"sheets", "read.example"}, {"plain", unkeyedRoute}}

// statusCounts holds the number of responses by status.
type statusCounts map[int]int

func (t statusCounts) total() int {
	n := 0
	for _, count := range t {
		n += count
	}
	return n
}

// generateSteadyLoad has one caller per host send requests with varying keys, each
// 50 ms after the last response, for d. It returns the statuses of the responses to
// the requests sent at least countFrom after the start.
func (f *testFleet) generateSteadyLoad(route string, d, countFrom time.Duration) statusCounts {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := statusCounts{}
	start := time.Now()
	for i, h := range f.hosts {
		wg.Go(func() {
			for n := 0; time.Since(start) < d; n++ {
				sentAfter := time.Since(start)
				status, _ := h.call("GET", route, fmt.Sprint(h.cfg.Host, "-ask-", n, "-", time.Now().UnixNano()), (n*12+i)*977%65536)
				if sentAfter >= countFrom {
					mu.Lock()
					out[status]++
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return out
}

// sendingHost returns the host that sent a request of generateSteadyLoad.
func sendingHost(a rangeowner.Arrival) string {
	host, _, _ := strings.Cut(a.ID, "-")
	return host
}

// arrivalsAfterReport returns the arrivals that came more than grace after their
// host first received a response whose report matches.
func arrivalsAfterReport(arrivals []rangeowner.Arrival, matches func(rangeowner.Report) bool, grace time.Duration) []rangeowner.Arrival {
	received := map[string]time.Time{}
	var out []rangeowner.Arrival
	for _, a := range arrivals {
		at, ok := received[sendingHost(a)]
		if ok && a.At.Sub(at) > grace {
			out = append(out, a)
		}
		if !ok && matches(a.Report) {
			received[sendingHost(a)] = a.At
		}
	}
	return out
}

// feedbackFleet starts hosts and five upstreams of a service, and sends requests
// until the load is spread over the upstreams.
func feedbackFleet(t *testing.T, hosts int, service, route string) (*testFleet, []*rangeowner.Upstream) {
	f := newFleet(t, hosts, 0)
	var ups []*rangeowner.Upstream
	for i := range 5 {
		ups = append(ups, f.addServiceUpstream(service, fmt.Sprint("up", i)))
	}
	f.waitPathServed(route, "/x", startupTimeout)
	time.Sleep(4 * time.Second)
	f.generateSteadyLoad(route, 2*time.Second, 0)
	return f, ups
}

// Hosts that each apply an upstream's rate limit alone, or not at all, exceed it
// together. All hosts together must stay within the limit, and other upstreams with
// spare capacity must serve the callers.
func TestUpstreamRateLimitHoldsAcrossHosts(t *testing.T) {
	for _, c := range testServices {
		for _, limit := range []float64{1, 1.6, 8} {
			t.Run(fmt.Sprint(c.name, " limit ", limit), func(t *testing.T) {
				runFleetTest(t, func(t *testing.T) {
					f, ups := feedbackFleet(t, 12, c.name, c.route)
					limitedAt := time.Now()
					ups[0].SetReport(rangeowner.Report{RateLimit: limit})
					got := f.generateSteadyLoad(c.route, 12*time.Second, 6*time.Second)
					arrivals := ups[0].Arrivals(limitedAt, time.Now())
					counted := arrivalsAfterReport(arrivals, func(s rangeowner.Report) bool { return s.RateLimit > 0 }, rangeowner.ReportGrace)
					if n, maxRequests := rangeowner.PeakInWindow(counted, rangeowner.RateLimitWindow), rangeowner.MaxRequests(limit); n > maxRequests {
						t.Errorf("%d requests within %v at an upstream with a rate limit of %v a second; at most %d are allowed", n, rangeowner.RateLimitWindow, limit, maxRequests)
					}
					if got[http.StatusOK] < got.total()*9/10 {
						t.Errorf("responses %v while four of five upstreams have spare capacity", got)
					}
					ups[0].SetReport(rangeowner.Report{})
					f.generateSteadyLoad(c.route, 6*time.Second, 0)
					const window = 2 * time.Second
					n := len(ups[0].Arrivals(time.Now().Add(-window), time.Now()))
					if maxWhileLimited := int(limit*window.Seconds()) + burst; c.name == "plain" && n <= maxWhileLimited {
						t.Errorf("%d requests within %v after the rate limit ended; more than the %d under the limit are expected", n, window, maxWhileLimited)
					}
				})
			})
		}
	}
}

// An upstream that reports in its responses that it is leaving must get no requests
// later than DrainGrace after that, whatever its entry in the log contains and
// whether or not the log can be read.
func TestUpstreamReportingLeavingGetsNoLateRequests(t *testing.T) {
	for _, c := range testServices {
		for _, logLost := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " log lost ", logLost), func(t *testing.T) {
				runFleetTest(t, func(t *testing.T) {
					f, ups := feedbackFleet(t, 6, c.name, c.route)
					for _, h := range f.hosts {
						h.log.partitioned.Store(logLost)
					}
					reportedAt := time.Now()
					ups[0].SetReport(rangeowner.Report{Leaving: true})
					got := f.generateSteadyLoad(c.route, 5*time.Second, 2*time.Second)
					late := arrivalsAfterReport(ups[0].Arrivals(reportedAt, time.Now()), func(s rangeowner.Report) bool { return s.Leaving }, rangeowner.DrainGrace)
					if len(late) > 0 {
						t.Errorf("%d requests reached the upstream more than %v after their host received the report; the first is %+v", len(late), rangeowner.DrainGrace, late[0])
					}
					if !logLost && got[http.StatusOK] < got.total()*9/10 {
						t.Errorf("responses %v while four of five upstreams are not leaving", got)
					}
					for _, h := range f.hosts {
						h.log.partitioned.Store(false)
					}
					f.waitPathServed(c.route, "/x", startupTimeout)
				})
			})
		}
	}
}

// An upstream asks for backoff. Hosts must send it no requests meanwhile, although
// they can't send those for its keys elsewhere: keys have only one owner.
func TestUpstreamBackoffIsObeyed(t *testing.T) {
	const backoff = 3 * time.Second
	for _, c := range testServices {
		t.Run(c.name, func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f, ups := feedbackFleet(t, 6, c.name, c.route)
				reportedAt := time.Now()
				ups[0].SetReport(rangeowner.Report{Backoff: backoff})
				got := f.generateSteadyLoad(c.route, 8*time.Second, 0)
				byHost := map[string][]rangeowner.Arrival{}
				for _, a := range ups[0].Arrivals(reportedAt, time.Now()) {
					byHost[sendingHost(a)] = append(byHost[sendingHost(a)], a)
				}
				for host, arrivals := range byHost {
					if n, _ := rangeowner.BackoffViolation(arrivals, backoff, func(_, _ time.Time) bool { return true }); n > 0 {
						t.Errorf("%d requests from %s within a backoff of %v; at most %d are allowed", n, host, backoff, rangeowner.BackoffSlack)
					}
				}
				if got[http.StatusOK] < got.total()*9/10 {
					t.Errorf("responses %v while four of five upstreams have spare capacity", got)
				}
				ups[0].SetReport(rangeowner.Report{})
				time.Sleep(backoff)
				f.waitPathServed(c.route, "/x", startupTimeout)
			})
		})
	}
}

// Owners in backoff count with almost no capacity, so that their keys move. If many
// owners are in backoff, the service lacks capacity and moved keys would overload
// the other owners too: then the keys must stay.
func TestOwnersInBackoffLoseCapacityUnlessMany(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ owners, backingOff, wantReduced int }{{8, 1, 1}, {8, 2, 2}, {8, 3, 0}, {3, 1, 1}, {3, 2, 0}} {
		load := ownership.Load{ByKey: []float64{1}, Capacity: map[string]float64{}}
		reports := feedback.NewTracker()
		var owners []*catalogue.Upstream
		for i := range c.owners {
			id := fmt.Sprint("u", i)
			owners = append(owners, &catalogue.Upstream{ID: id})
			load.Capacity[id] = 10
			if i < c.backingOff {
				reports.Merge("relay", []feedback.Notice{{Upstream: id, RateLimitAge: -1, BackoffHosts: minBackoffHosts, BackoffLeft: time.Second}}, now)
			}
		}
		applyReportedLimits(&load, owners, reports, now)
		reduced := 0
		for _, capacity := range load.Capacity {
			if capacity < 10 {
				reduced++
			}
		}
		if reduced != c.wantReduced {
			t.Errorf("%d of %d owners in backoff: %d have a reduced capacity, want %d", c.backingOff, c.owners, reduced, c.wantReduced)
		}
	}
}

// An owner whose rate limit has ended must get keys again once the other owners are
// busy. Without requests it can't report the end of its limit, and each limit would
// cost the service an owner for good.
func TestOwnersAreUsedAgainAfterRateLimitEnds(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 12, 0)
		var ups []*rangeowner.Upstream
		for i := range 5 {
			u := f.startUpstream("sheets", fmt.Sprint("up", i))
			f.putEntry(u, catalogue.Upstream{Service: "sheets", DataCentre: "dc", Slots: 1})
			ups = append(ups, u)
		}
		f.waitPathServed("read.example", "/x", startupTimeout)
		time.Sleep(4 * time.Second)
		f.generateSteadyLoad("read.example", 3*time.Second, 0)
		for _, u := range ups[:3] {
			u.SetReport(rangeowner.Report{RateLimit: 1.2})
			f.generateSteadyLoad("read.example", 5*time.Second, 0)
			u.SetReport(rangeowner.Report{})
			f.generateSteadyLoad("read.example", 12*time.Second, 0)
		}
		now := time.Now()
		for _, u := range ups {
			// An even share is a fifth of the load, some 36 requests a second.
			if n := len(u.Arrivals(now.Add(-3*time.Second), now)); n < 3*36/4 {
				t.Errorf("%d requests reached %s in the last 3s, under a quarter of an even share", n, u.ID)
			}
		}
	})
}
