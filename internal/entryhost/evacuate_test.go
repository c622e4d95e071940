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

// addDataCentre adds upstreams of both services in a data centre of their own.
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

// sendTraffic has callers ask for keys all over and for the service without keys,
// through every host, for d. It returns how many were not answered.
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

// Operators evacuate a data centre to work on it. Callers went on being sent to
// its upstreams until those were switched off under them. From the bound on
// nothing may reach them, through any host, also one that starts meanwhile;
// callers of their keys are served by others, and once the data centre is taken
// back it is used again.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.addServiceUpstream("plain", "plain0")
		evacuated := f.addDataCentre("far", 2)
		f.waitServed(f.hosts[0], startupTimeout)
		f.sendTraffic(4 * time.Second)
		if totalRuns(evacuated) == 0 {
			t.Fatal("the play is wrong: the data centre was never used")
		}
		f.log.Put(metastore.StreamDesired, "evacuate/far", []byte("{}"))
		if unserved := f.sendTraffic(testEvacuationTimeout / 2); unserved > 0 {
			t.Errorf("%d requests were not served while it was evacuated", unserved)
		}
		f.startHost("late")
		f.waitServed(f.hosts[3], startupTimeout)
		time.Sleep(testEvacuationTimeout / 2)
		before := totalRuns(evacuated)
		if unserved := f.sendTraffic(5 * time.Second); unserved > 0 {
			t.Errorf("%d requests were not served after it was evacuated", unserved)
		}
		if n := totalRuns(evacuated) - before; n > 0 {
			t.Errorf("%d requests reached the data centre later than %v after it was evacuated", n, testEvacuationTimeout)
		}
		f.log.Put(metastore.StreamDesired, "evacuate/far", nil)
		f.generateLoad("read.example", 8*time.Second) // lightly used owners keep what they have
		if totalRuns(evacuated) == before {
			t.Error("it is not used again")
		}
	})
}

// The log service is away while a data centre is evacuated: its keys cannot be
// given to others. Their callers are refused, as nothing may be sent there, and
// all others are served.
func TestEvacuationDuringLogOutage(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		evacuated := f.addDataCentre("far", 2)
		f.waitServed(f.hosts[0], startupTimeout)
		f.log.Put(metastore.StreamDesired, "evacuate/far", []byte("{}"))
		time.Sleep(20 * time.Millisecond) // it is read, and nothing can be recorded any more
		f.log.SetDown(true)
		time.Sleep(testEvacuationTimeout)
		before := totalRuns(evacuated)
		f.sendTraffic(2 * time.Second)
		if n := totalRuns(evacuated) - before; n > 0 {
			t.Errorf("%d requests reached the data centre", n)
		}
		f.log.SetDown(false)
		f.waitServed(f.hosts[1], maxHandover)
	})
}
