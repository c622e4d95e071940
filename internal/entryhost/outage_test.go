package entryhost

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

// strongAndWeak is a fleet of which three hosts can plan and relay.
func strongAndWeak(t *testing.T, weak int) *testFleet {
	t.Helper()
	f := newFleet(t, 3, 3)
	f.addTo("plain", "plain0")
	for i := range weak {
		f.startHostWith(fmt.Sprint("weak", i), weakCPU)
	}
	for _, h := range f.hosts {
		f.served(h, startup)
	}
	time.Sleep(2 * time.Second)
	return f
}

// The log service is down for 8 s. Every host asked it again several times a
// second, of each stream: thousands of hosts would ask more than it answers, and
// drown its return. A few of them ask. What is published on its return is in
// force on every host in time, and no upstream is taken for gone whose entry
// lapsed meanwhile.
func TestFewAskALogServiceThatFails(t *testing.T) {
	fleetTest(t, func(t *testing.T) {
		const hosts, outage = 40, 8 * time.Second
		f := strongAndWeak(t, hosts)
		before := f.log.Priced()
		f.log.SetDown(true)
		time.Sleep(outage)
		calls := f.log.Priced() - before
		t.Logf("%.0f calls while it was down", calls)
		// The strong ones ask some ten times a second in all, the weak ones
		// once each and then a few of them a second.
		if most := hosts + 30*int(outage.Seconds()); calls > float64(most) {
			t.Errorf("%.0f calls in %v, want at most %d", calls, outage, most)
		}
		f.log.SetDown(false)
		f.log.Put(metastore.StreamDesired, "state", []byte("2"))
		time.Sleep(settled)
		for _, h := range f.hosts {
			if v := h.version(t); v != 2 {
				t.Errorf("%s is at version %d, %v after the service's return", h.cfg.Host, v, settled)
			}
		}
	})
}

// The planner is killed. The others learnt who plans now by reading every stream
// of the log themselves, five calls a host for each change of planner. Those
// behind a relay that lives need not.
func TestChangeOfPlannerCostsFewCalls(t *testing.T) {
	fleetTest(t, func(t *testing.T) {
		const hosts = 30
		f := strongAndWeak(t, hosts)
		var planner *testHost
		for _, h := range f.hosts {
			if h.cfg.Host == f.log.Holder() {
				planner = h
			}
		}
		before := f.log.Priced()
		f.lose(planner)
		time.Sleep(6 * time.Second)
		calls := f.log.Priced() - before
		t.Logf("%.0f calls", calls)
		if most := 2 * hosts; calls > float64(most) {
			t.Errorf("%.0f calls for a change of planner, want at most %d", calls, most)
		}
		for _, h := range f.hosts {
			if h != planner {
				f.served(h, handover)
			}
		}
	})
}

// version returns the version of the desired state that is in force on the host.
func (h *testHost) version(t *testing.T) int64 {
	t.Helper()
	resp, err := h.http.Get("http://" + h.cfg.MetricsListen + "/metrics")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: metrics: %v", h.cfg.Host, err)
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "papayatide_desired_version "); ok {
			v, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return v
		}
	}
	return 0
}
