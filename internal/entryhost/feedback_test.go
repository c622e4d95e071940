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

// burst is how many requests more than a limit brings may come at once.
const burst = 2

// services are the ones of the test's desired state and the routes to them.
var testServices = []struct{ name, route string }{{"sheets", "read.example"}, {"plain", unkeyedRoute}}

// statusCounts counts answers by status.
type statusCounts map[int]int

func (t statusCounts) total() int {
	n := 0
	for _, count := range t {
		n += count
	}
	return n
}

// generateSteadyLoad has one caller on every host ask for other keys, every 50 ms, and returns
// the statuses of what was asked from some time on.
func (f *testFleet) generateSteadyLoad(route string, d, from time.Duration) statusCounts {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := statusCounts{}
	start := time.Now()
	for i, h := range f.hosts {
		wg.Go(func() {
			for n := 0; time.Since(start) < d; n++ {
				at := time.Since(start)
				status, _ := h.call("GET", route, fmt.Sprint(h.cfg.Host, "-ask-", n, "-", time.Now().UnixNano()), (n*12+i)*977%65536)
				if at >= from {
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

// sendingHost returns the host that a request of ask was sent to.
func sendingHost(a rangeowner.Arrival) string {
	host, _, _ := strings.Cut(a.ID, "-")
	return host
}

// arrivalsAfterReport returns the arrivals from hosts that had received an answer which
// says so some time before.
func arrivalsAfterReport(all []rangeowner.Arrival, says func(rangeowner.Report) bool, later time.Duration) []rangeowner.Arrival {
	received := map[string]time.Time{}
	var out []rangeowner.Arrival
	for _, a := range all {
		at, ok := received[sendingHost(a)]
		if ok && a.At.Sub(at) > later {
			out = append(out, a)
		}
		if !ok && says(a.Report) {
			received[sendingHost(a)] = a.At
		}
	}
	return out
}

// feedbackFleet starts hosts and five upstreams of a service, and waits until they
// serve.
func feedbackFleet(t *testing.T, hosts int, service, route string) (*testFleet, []*rangeowner.Upstream) {
	f := newFleet(t, hosts, 0)
	var ups []*rangeowner.Upstream
	for i := range 5 {
		ups = append(ups, f.addServiceUpstream(service, fmt.Sprint("up", i)))
	}
	f.waitAnswered(route, "/x", startupTimeout)
	time.Sleep(4 * time.Second)
	f.generateSteadyLoad(route, 2*time.Second, 0)
	return f, ups
}

// Hosts that each keep an upstream's rate limit by themselves, or not at all, must
// not exceed it together; callers must be served by upstreams with room.
func TestUpstreamRateLimitHoldsAcrossHosts(t *testing.T) {
	for _, c := range testServices {
		for _, limit := range []float64{1, 1.6, 8} {
			t.Run(fmt.Sprint(c.name, " limit ", limit), func(t *testing.T) {
				runFleetTest(t, func(t *testing.T) {
					f, ups := feedbackFleet(t, 12, c.name, c.route)
					named := time.Now()
					ups[0].SetReport(rangeowner.Report{RateLimit: limit})
					got := f.generateSteadyLoad(c.route, 12*time.Second, 6*time.Second)
					all := ups[0].Arrivals(named, time.Now())
					counted := arrivalsAfterReport(all, func(s rangeowner.Report) bool { return s.RateLimit > 0 }, rangeowner.ReportGrace)
					if n, most := rangeowner.PeakInWindow(counted, rangeowner.RateLimitWindow), rangeowner.MaxRequests(limit); n > most {
						t.Errorf("%d requests within %v of an upstream that takes %v a second; at most %d", n, rangeowner.RateLimitWindow, limit, most)
					}
					if got[http.StatusOK] < got.total()*9/10 {
						t.Errorf("answers %v while four of five upstreams have room", got)
					}
					ups[0].SetReport(rangeowner.Report{})
					f.generateSteadyLoad(c.route, 6*time.Second, 0)
					const after = 2 * time.Second
					n := len(ups[0].Arrivals(time.Now().Add(-after), time.Now()))
					if held := int(limit*after.Seconds()) + burst; c.name == "plain" && n <= held {
						t.Errorf("%d requests within %v after the limit's end, no more than %d while it held", n, after, held)
					}
				})
			})
		}
	}
}

// An upstream that says in its answers that it leaves must get nothing later than
// the bound, whatever the log says of it and whether the log can be read.
func TestUpstreamReportingLeavingGetsNoLateRequests(t *testing.T) {
	for _, c := range testServices {
		for _, logLost := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " log lost ", logLost), func(t *testing.T) {
				runFleetTest(t, func(t *testing.T) {
					f, ups := feedbackFleet(t, 6, c.name, c.route)
					for _, h := range f.hosts {
						h.log.partitioned.Store(logLost)
					}
					said := time.Now()
					ups[0].SetReport(rangeowner.Report{Leaving: true})
					got := f.generateSteadyLoad(c.route, 5*time.Second, 2*time.Second)
					late := arrivalsAfterReport(ups[0].Arrivals(said, time.Now()), func(s rangeowner.Report) bool { return s.Leaving }, rangeowner.DrainGrace)
					if len(late) > 0 {
						t.Errorf("%d requests reached it more than %v after their host received the report; first %+v", len(late), rangeowner.DrainGrace, late[0])
					}
					if !logLost && got[http.StatusOK] < got.total()*9/10 {
						t.Errorf("answers %v while four of five upstreams stay", got)
					}
					for _, h := range f.hosts {
						h.log.partitioned.Store(false)
					}
					f.waitAnswered(c.route, "/x", startupTimeout)
				})
			})
		}
	}
}

// A host that an upstream asks for rest must not keep sending it what its callers
// ask for: keys have one owner, so it has nobody else to send to.
func TestUpstreamBackoffIsObeyed(t *testing.T) {
	const rest = 3 * time.Second
	for _, c := range testServices {
		t.Run(c.name, func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f, ups := feedbackFleet(t, 6, c.name, c.route)
				asked := time.Now()
				ups[0].SetReport(rangeowner.Report{Backoff: rest})
				got := f.generateSteadyLoad(c.route, 8*time.Second, 0)
				byHost := map[string][]rangeowner.Arrival{}
				for _, a := range ups[0].Arrivals(asked, time.Now()) {
					byHost[sendingHost(a)] = append(byHost[sendingHost(a)], a)
				}
				for host, all := range byHost {
					if n, _ := rangeowner.BackoffViolation(all, rest, func(_, _ time.Time) bool { return true }); n > 0 {
						t.Errorf("%d requests from %s within a rest of %v; at most %d", n, host, rest, rangeowner.BackoffSlack)
					}
				}
				if got[http.StatusOK] < got.total()*9/10 {
					t.Errorf("answers %v while four of five upstreams have room", got)
				}
				ups[0].SetReport(rangeowner.Report{})
				time.Sleep(rest)
				f.waitAnswered(c.route, "/x", startupTimeout)
			})
		})
	}
}

// Keys must not move from owners that rest to others that are about to: where many
// rest, the service lacks room.
func TestOwnersInBackoffLoseCapacityUnlessMany(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ owners, resting, capped int }{{8, 1, 1}, {8, 2, 2}, {8, 3, 0}, {3, 1, 1}, {3, 2, 0}} {
		load := ownership.Load{ByKey: []float64{1}, Capacity: map[string]float64{}}
		reports := feedback.NewTracker()
		var owners []*catalogue.Upstream
		for i := range c.owners {
			id := fmt.Sprint("u", i)
			owners = append(owners, &catalogue.Upstream{ID: id})
			load.Capacity[id] = 10
			if i < c.resting {
				reports.Merge("relay", []feedback.Notice{{Upstream: id, RateLimitAge: -1, BackoffHosts: minBackoffHosts, BackoffLeft: time.Second}}, now)
			}
		}
		applyReportedLimits(&load, owners, reports, now)
		capped := 0
		for _, capacity := range load.Capacity {
			if capacity < 10 {
				capped++
			}
		}
		if capped != c.capped {
			t.Errorf("%d of %d owners rest: %d count with less, want %d", c.resting, c.owners, capped, c.capped)
		}
	}
}

// Owners whose limit has ended must be asked again once the others are busy: one that
// gets nothing cannot report the end, and each limit would cost the service an owner.
func TestOwnersAreUsedAgainAfterRateLimitEnds(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 12, 0)
		var ups []*rangeowner.Upstream
		for i := range 5 {
			u := f.startUpstream("sheets", fmt.Sprint("up", i))
			f.putEntry(u, catalogue.Upstream{Service: "sheets", DataCentre: "dc", Slots: 1})
			ups = append(ups, u)
		}
		f.waitAnswered("read.example", "/x", startupTimeout)
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
			// An even share is a fifth of what is asked, some 36 a second.
			if n := len(u.Arrivals(now.Add(-3*time.Second), now)); n < 3*36/4 {
				t.Errorf("%d requests reached %s in the last 3s, under a quarter of an even share", n, u.ID)
			}
		}
	})
}
