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

// slowStartMost is how many requests a cold upstream may get in a second.
const maxColdRequestsPerSecond = 4*slowStartFactor + slowStartSlack

// addColdUpstream adds an upstream that is in its slow start for lasts.
func (f *testFleet) addColdUpstream(service, id string, lasts time.Duration) *rangeowner.Upstream {
	u := f.startUpstream(service, id)
	f.putEntry(u, catalogue.Upstream{Service: service, DataCentre: "dc", Slots: 3, SlowUntil: time.Now().Add(lasts)})
	return u
}

// generateLoad has callers ask on every host at once, as fast as they are answered.
func (f *testFleet) generateLoad(route string, d time.Duration) { f.generateLoadOn(f.hosts, route, d) }

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

// Upstreams come back from a restart one after the other, empty and idle, and so
// look like the best choice to every host: callers' requests came to a cold one
// at several times the rate that it bears, it ended again, and with it what it
// was working on. All hosts together must keep to what it bears, for keys and
// without, also where every upstream of the service is cold.
func TestColdUpstreamStaysWithinCapacity(t *testing.T) {
	const cold = 3 * time.Second
	for _, c := range []struct{ service, route string }{{"sheets", "read.example"}, {"plain", unkeyedRoute}} {
		for _, warm := range []int{3, 0} {
			t.Run(fmt.Sprint(c.service, " beside ", warm), func(t *testing.T) {
				runFleetTest(t, func(t *testing.T) {
					f := newFleet(t, 8, 0)
					for i := range warm {
						f.addServiceUpstream(c.service, fmt.Sprint("warm", i))
					}
					if warm > 0 {
						f.waitAnswered(c.route, "/x", startupTimeout)
					}
					time.Sleep(4 * time.Second)
					from := time.Now() // what starts now is cold until then and cold more
					var started []*rangeowner.Upstream
					for i := range 2 {
						started = append(started, f.addColdUpstream(c.service, fmt.Sprint("cold", i), cold))
					}
					f.generateLoad(c.route, cold)
					for _, u := range started {
						if n := u.PeakInSecond(from, from.Add(cold)); n > int(maxColdRequestsPerSecond) {
							t.Errorf("%d requests came to a cold upstream within a second, it bears %v", n, maxColdRequestsPerSecond)
						}
					}
					time.Sleep(time.Second)
					f.waitAnswered(c.route, "/x", maxHandover)
				})
			})
		}
	}
}

// A data centre that is taken back has become cold meanwhile, and the log service
// fails before its upstreams have written so: they must not get their usual share.
func TestReturnedDataCentreIsColdDuringLogOutage(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		const cold = 3 * time.Second
		f := newFleet(t, 6, 0)
		far := f.startUpstream("plain", "far")
		entry := catalogue.Upstream{Service: "plain", DataCentre: "far", Slots: 30}
		f.putEntry(far, entry)
		f.waitAnswered(unkeyedRoute, "/x", startupTimeout)
		time.Sleep(4 * time.Second)
		f.log.Put(metastore.StreamDesired, "evacuate/far", []byte("{}"))
		time.Sleep(testEvacuationTimeout + time.Second)
		back := time.Now()
		f.log.Put(metastore.StreamDesired, "evacuate/far", nil)
		time.Sleep(500 * time.Millisecond)
		f.log.SetDown(true)
		entry.SlowUntil = back.Add(cold)
		f.putEntry(far, entry)
		f.generateLoad(unkeyedRoute, cold)
		if n := far.PeakInSecond(back, back.Add(cold)); n > int(maxColdRequestsPerSecond) {
			t.Errorf("%d requests came to a cold upstream within a second, it takes %v", n, maxColdRequestsPerSecond)
		}
		f.log.SetDown(false)
		time.Sleep(2 * time.Second)
		before := time.Now()
		f.generateLoad(unkeyedRoute, 2*time.Second)
		if n := len(far.Arrivals(before, time.Now())); n == 0 {
			t.Error("it is not used once it is warm")
		}
	})
}

// A server ends while the log service is away and starts again under its ID, cold,
// which nobody can read. It must not get what the life before it got, also where
// only some of the hosts have seen it end.
func TestRestartedServerIsColdDuringLogOutage(t *testing.T) {
	for _, c := range []struct {
		service, route string
		busy           int
	}{{"sheets", "read.example", 4}, {"plain", unkeyedRoute, 4}, {"plain", unkeyedRoute, 1}} {
		t.Run(fmt.Sprint(c.service, " with ", c.busy, " busy hosts"), func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 4, 0)
				old := f.addServiceUpstream(c.service, "server")
				f.addServiceUpstream(c.service, "other")
				f.waitAnswered(c.route, "/x", startupTimeout)
				f.generateLoad(c.route, 4*time.Second)
				f.log.SetDown(true)
				f.killUpstream(old)
				f.generateLoadOn(f.hosts[:c.busy], c.route, time.Second)
				back := time.Now()
				again := f.startUpstream(c.service, "server")
				const cold = 3 * time.Second
				f.generateLoad(c.route, cold)
				if n := again.PeakInSecond(back, back.Add(cold)); n > int(maxColdRequestsPerSecond) {
					t.Errorf("%d requests came to it within a second, it takes %v", n, maxColdRequestsPerSecond)
				}
				f.log.SetDown(false)
				f.registerAs(c.service, again, false)
				f.registerAs(c.service, f.upstreams["other:80"], false)
				time.Sleep(4 * time.Second)
				before := time.Now()
				f.generateLoad(c.route, 2*time.Second)
				if n := len(again.Arrivals(before, time.Now())); n == 0 {
					t.Error("it is not used once it is warm")
				}
			})
		})
	}
}
