package entryhost

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

// addDataCentre adds n upstreams of each service in the given data centre.
func (f *testFleet) addDataCentre(dataCentre string, n int) []*rangeowner.Upstream {
	var out []*rangeowner.Upstream
	for i := range n {
		for _, service := range []string{"sheets", "plain"} {
			u := f.startUpstream(service, fmt.Sprint(dataCentre, "-", service, i))
			f.putEntry(u, catalogue.Upstream{Service: service, DataCentre: dataCentre, Slots: 3})
			out = append(out, u)
		}
	}
	return out
}

// totalRuns returns how many requests the upstreams have run.
func totalRuns(ups []*rangeowner.Upstream) int {
	n := 0
	for _, u := range ups {
		n += len(u.Runs())
	}
	return n
}

// sendTraffic sends requests with keys from the whole key space, and requests
// without keys, to all hosts in turn for d. It returns how many did not get a
// 200.
func (f *testFleet) sendTraffic(d time.Duration) (unserved int) {
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		h := f.hosts[n%len(f.hosts)]
		for _, route := range []string{"read.example", unkeyedRoute} {
			if status, _ := h.call("GET", route, fmt.Sprint(route, time.Now().UnixNano()), n*977%65536); status != http.StatusOK {
				unserved++
			}
		}
	}
	return unserved
}

// An operator evacuates a data centre to work on it. Without the evacuation, hosts would send
// requests to its upstreams until these are switched off. Later than testEvacuationTimeout no
// request may reach them, not even through a host that started meanwhile, and other upstreams
// must serve the keys. Once the evacuation has ended, the data centre must be used again.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.addServiceUpstream("plain", "plain0")
		evacuated := f.addDataCentre("far", 2)
		f.waitServed(f.hosts[0], startupTimeout)
		f.sendTraffic(4 * time.Second)
		if totalRuns(evacuated) == 0 {
			t.Fatal("the test's setup is wrong: the data centre got no requests before its evacuation")
		}
		f.log.Put(metastore.StreamOperators, "evacuate/far", []byte("{}"))
		if unserved := f.sendTraffic(testEvacuationTimeout / 2); unserved > 0 {
			t.Errorf("%d requests were not served during the evacuation", unserved)
		}
		f.startHost("late")
		f.waitServed(f.hosts[3], startupTimeout)
		time.Sleep(testEvacuationTimeout / 2)
		before := totalRuns(evacuated)
		if unserved := f.sendTraffic(5 * time.Second); unserved > 0 {
			t.Errorf("%d requests were not served after the evacuation timeout", unserved)
		}
		if n := totalRuns(evacuated) - before; n > 0 {
			t.Errorf("%d requests reached the data centre later than %v after the start of the evacuation", n, testEvacuationTimeout)
		}
		f.log.Put(metastore.StreamOperators, "evacuate/far", nil)
		f.generateLoad("read.example", 8*time.Second) // owners with little load keep their keys
		if totalRuns(evacuated) == before {
			t.Error("the data centre gets no requests after the evacuation has ended")
		}
	})
}

// The log service is down while a data centre is evacuated, so that its keys can't
// be given to other owners. Hosts must refuse requests for these keys rather than
// send them to the data centre.
func TestEvacuationDuringLogOutage(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		evacuated := f.addDataCentre("far", 2)
		f.waitServed(f.hosts[0], startupTimeout)
		f.log.Put(metastore.StreamOperators, "evacuate/far", []byte("{}"))
		time.Sleep(20 * time.Millisecond) // the hosts read the evacuation's record, but have not moved the keys yet
		f.log.SetDown(true)
		time.Sleep(testEvacuationTimeout)
		before := totalRuns(evacuated)
		f.sendTraffic(2 * time.Second)
		if n := totalRuns(evacuated) - before; n > 0 {
			t.Errorf("%d requests reached the data centre", n)
		}
		f.log.SetDown(false)
		f.waitServed(f.hosts[1], maxFailover)
	})
}
