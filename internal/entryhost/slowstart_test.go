package entryhost

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

// maxColdRequestsPerSecond bounds the requests to a cold upstream from all hosts
// together.
const maxColdRequestsPerSecond = 4*slowStartFactor + slowStartSlack

// addColdUpstream adds an upstream whose slow start lasts for coldFor.
func (f *testFleet) addColdUpstream(service, id string, coldFor time.Duration) *rangeowner.Upstream {
	u := f.startUpstream(service, id)
	f.putEntry(u, catalogue.Upstream{Service: service, DataCentre: "dc", Slots: 3, SlowUntil: time.Now().Add(coldFor)})
	return u
}

// generateLoad is generateLoadOn for all hosts.
func (f *testFleet) generateLoad(route string, d time.Duration) { f.generateLoadOn(f.hosts, route, d) }

// generateLoadOn has four callers per host send requests for d, each 5 ms after the
// last response.
func (f *testFleet) generateLoadOn(hosts []*testHost, route string, d time.Duration) {
	var wg sync.WaitGroup
	for _, h := range hosts {
		for c := range 4 {
			wg.Go(func() {
				for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
					h.call("GET", route, fmt.Sprint(h.cfg.Host, "-", c, "-", n, "-", time.Now().UnixNano()), (n*4+c)*977%65536)
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
}

// Two upstreams start, cold and idle, so that every host prefers them.
// Without a limit on all hosts together, a cold upstream gets several times the rate that it
// can serve, and crashes with the requests that it runs. All hosts together must stay within
// its capacity, with and without keys, and also if all upstreams of the service are cold.
func TestColdUpstreamStaysWithinCapacity(t *testing.T) {
	const coldFor = 3 * time.Second
	for _, c := range []struct{ service, route string }{{"sheets", "read.example"}, {"plain", unkeyedRoute}} {
		for _, warm := range []int{3, 0} {
			t.Run(fmt.Sprint(c.service, ", warm upstreams: ", warm), func(t *testing.T) {
				runFleetTest(t, func(t *testing.T) {
					f := newFleet(t, 8, 0)
					for i := range warm {
						f.addServiceUpstream(c.service, fmt.Sprint("warm", i))
					}
					if warm > 0 {
						f.waitPathServed(c.route, "/x", startupTimeout)
					}
					time.Sleep(4 * time.Second)
					from := time.Now() // upstreams started from now on are cold for at least coldFor
					var coldUpstreams []*rangeowner.Upstream
					for i := range 2 {
						coldUpstreams = append(coldUpstreams, f.addColdUpstream(c.service, fmt.Sprint("cold", i), coldFor))
					}
					f.generateLoad(c.route, coldFor)
					for _, u := range coldUpstreams {
						if n := u.PeakInSecond(from, from.Add(coldFor)); n > int(maxColdRequestsPerSecond) {
							t.Errorf("a cold upstream got %d requests within a second, want at most %v", n, maxColdRequestsPerSecond)
						}
					}
					time.Sleep(time.Second)
					f.waitPathServed(c.route, "/x", maxFailover)
				})
			})
		}
	}
}

// The evacuation of a data centre ends. Its upstreams have become cold meanwhile, and
// the log service fails before their entries say so. Hosts must not send them their
// usual share of the requests.
func TestReturnedDataCentreIsColdDuringLogOutage(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		const coldFor = 3 * time.Second
		f := newFleet(t, 6, 0)
		far := f.startUpstream("plain", "far")
		entry := catalogue.Upstream{Service: "plain", DataCentre: "far", Slots: 30}
		f.putEntry(far, entry)
		f.waitPathServed(unkeyedRoute, "/x", startupTimeout)
		time.Sleep(4 * time.Second)
		f.log.Put(metastore.StreamOperators, "evacuate/far", []byte("{}"))
		time.Sleep(testEvacuationTimeout + time.Second)
		returnedAt := time.Now()
		f.log.Put(metastore.StreamOperators, "evacuate/far", nil)
		time.Sleep(500 * time.Millisecond)
		f.log.SetDown(true)
		entry.SlowUntil = returnedAt.Add(coldFor)
		f.putEntry(far, entry)
		f.generateLoad(unkeyedRoute, coldFor)
		if n := far.PeakInSecond(returnedAt, returnedAt.Add(coldFor)); n > int(maxColdRequestsPerSecond) {
			t.Errorf("a cold upstream got %d requests within a second, want at most %v", n, maxColdRequestsPerSecond)
		}
		f.log.SetDown(false)
		time.Sleep(2 * time.Second)
		before := time.Now()
		f.generateLoad(unkeyedRoute, 2*time.Second)
		if n := len(far.Arrivals(before, time.Now())); n == 0 {
			t.Error("the upstream gets no requests once it is warm")
		}
	})
}

// A server crashes during an outage of the log service and restarts under its ID. It
// is cold, but its entry can't be read. Hosts must not send it as much as its earlier
// incarnation got, not even those that did not detect the crash, and not if no host sent
// it a request while it was down.
func TestRestartedServerIsColdDuringLogOutage(t *testing.T) {
	for _, c := range []struct {
		service, route string
		busy           int
	}{{"sheets", "read.example", 4}, {"plain", unkeyedRoute, 4}, {"plain", unkeyedRoute, 1}, {"sheets", "read.example", 0}, {"plain", unkeyedRoute, 0}} {
		t.Run(fmt.Sprint(c.service, " with ", c.busy, " busy hosts"), func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 4, 0)
				old := f.addServiceUpstream(c.service, "server")
				f.addServiceUpstream(c.service, "other")
				f.waitPathServed(c.route, "/x", startupTimeout)
				f.generateLoad(c.route, 4*time.Second)
				f.log.SetDown(true)
				f.killUpstream(old)
				f.generateLoadOn(f.hosts[:c.busy], c.route, time.Second)
				if c.busy == 0 {
					time.Sleep(time.Second)
				}
				restartedAt := time.Now()
				restarted := f.startUpstream(c.service, "server")
				const coldFor = 3 * time.Second
				f.generateLoad(c.route, coldFor)
				if n := restarted.PeakInSecond(restartedAt, restartedAt.Add(coldFor)); n > int(maxColdRequestsPerSecond) {
					t.Errorf("the restarted upstream got %d requests within a second, want at most %v", n, maxColdRequestsPerSecond)
				}
				f.log.SetDown(false)
				f.registerAs(c.service, restarted, false)
				f.registerAs(c.service, f.upstreams["other:80"], false)
				time.Sleep(4 * time.Second)
				before := time.Now()
				f.generateLoad(c.route, 2*time.Second)
				if n := len(restarted.Arrivals(before, time.Now())); n == 0 {
					t.Error("the upstream gets no requests once it is warm")
				}
			})
		})
	}
}
