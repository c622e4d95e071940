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
	standin "github.com/papayatide/papayatide/internal/standin/target"
)

// An operator drains the key's owner. Callers must still get complete responses,
// after at most one HANDOVER refusal with Retry-After, and the drained upstream
// must get no new work from one grant TTL after the drain on.
func TestDrainedUpstreamGetsNoNewWork(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	cmd := cli.Command()
	cmd.SetArgs([]string{"--log", f.LogURL, "drain", "--upstream", owner})
	cmd.SetOut(&bytes.Buffer{})
	drainStart := time.Now()
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	last := lastResponseFrom(t, h, testKey, owner, drainStart, 2*time.Second)
	t.Logf("last response of the drained upstream was %v after the drain", last)
	if last > time.Second {
		t.Fatalf("drained upstream still served %v after the drain", last)
	}
	if _, took := waitServed(t, h, testKey, owner); took > time.Second {
		t.Fatalf("no new owner served the key until %v after the two seconds of polling", took)
	}
}

// A request is in flight at a slow target when its entry host shuts down gracefully. The
// host accepts no new connections but must wait for requests in flight, so the
// caller still gets the complete response.
func TestGracefulShutdownCompletesInFlightRequests(t *testing.T) {
	f := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSpec{{Name: "routeboard", Upstreams: 2, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), Target: standin.Options{WorkTime: 300 * time.Millisecond}})
	h := f.Hosts[0]
	results := make(chan callResult, 1)
	go func() { results <- call(t, http.MethodGet, h.URL+"/routeboard/"+testKey, "") }()
	time.Sleep(100 * time.Millisecond)
	if err := h.Stop(); err != nil {
		t.Fatalf("graceful shutdown: %v", err)
	}
	if r := <-results; r.status != http.StatusOK || r.body.Key != testKey {
		t.Fatalf("request in flight during graceful shutdown: status %d, refusal %+v", r.status, r.refusal)
	}
}

// The platform's host list, which has the addresses of targets and lags by 500 ms, marks
// the key's owner as leaving. Callers must still get complete responses, after at most
// one HANDOVER refusal with Retry-After, and the leaving target must get no new work from
// one grant TTL after the list shows the mark.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	f := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSpec{{Name: "routeboard", Upstreams: 4, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), HostListLag: 500 * time.Millisecond})
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	markedAt := time.Now()
	f.HostList.Set(f.Targets[owner].Upstream.Addr, hostlist.Leaving)
	last := lastResponseFrom(t, h, testKey, owner, markedAt, 3*time.Second)
	t.Logf("last response of the leaving target was %v after it was marked", last)
	if last > 2*time.Second {
		t.Fatalf("leaving target still served %v after it was marked", last)
	}
}
