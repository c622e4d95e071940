package daemon_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/cli"
	"github.com/papayatide/papayatide/internal/hostlist"
	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/standin/loopback"
	stand "github.com/papayatide/papayatide/internal/standin/target"
)

// An operator drains the key's owner. Callers keep getting whole answers
// (after at most one handover refusal with Retry-After); from one grant
// lease after the drain on, the drained upstream gets no new work.
func TestDrainedUpstreamGetsNoNewWork(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	cmd := cli.Command()
	cmd.SetArgs([]string{"--log", f.LogURL, "drain", "--upstream", owner})
	cmd.SetOut(&bytes.Buffer{})
	drained := time.Now()
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	last := lastResponseFrom(t, h, testKey, owner, drained, 2*time.Second)
	t.Logf("drained upstream's last answer %v after the drain", last)
	if last > time.Second {
		t.Fatalf("drained upstream still served %v after the drain", last)
	}
	if _, took := waitServed(t, h, testKey, owner); took > time.Second {
		t.Fatalf("key not served by a new owner %v after the drain", took)
	}
}

// A request is in flight at a slow target when its entry host gets a
// planned stop. The caller still gets the whole answer: the host stops
// taking new callers but waits for requests in flight.
func TestPlannedStopCompletesInFlightRequests(t *testing.T) {
	f := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSize{{Name: "routeboard", Upstreams: 2, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), Target: stand.Options{WorkTime: 300 * time.Millisecond}})
	h := f.Hosts[0]
	got := make(chan callResult, 1)
	go func() { got <- call(t, http.MethodGet, h.URL+"/routeboard/"+testKey, "") }()
	time.Sleep(100 * time.Millisecond)
	if err := h.Stop(); err != nil {
		t.Fatalf("planned stop: %v", err)
	}
	if r := <-got; r.status != http.StatusOK || r.body.Key != testKey {
		t.Fatalf("request in flight during planned stop got %d %+v", r.status, r.refusal)
	}
}

// The platform's host list (500 ms behind) marks the key's owner as
// leaving. Callers keep getting whole answers, after at most a handover
// refusal with Retry-After; once the list shows it, the leaving target gets
// no new work after one grant lease.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	f := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSize{{Name: "routeboard", Upstreams: 4, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), HostListLag: 500 * time.Millisecond})
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	marked := time.Now()
	f.HostList.Set(f.Targets[owner].Upstream.Addr, hostlist.Leaving)
	last := lastResponseFrom(t, h, testKey, owner, marked, 3*time.Second)
	t.Logf("leaving target's last answer %v after it was marked", last)
	if last > 2*time.Second {
		t.Fatalf("leaving target still served %v after it was marked", last)
	}
}
