package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/standin/loopback"
	standin "github.com/papayatide/papayatide/internal/standin/target"
)

const (
	fatalKey = "job-that-ends-its-target"
	// maxCrashes is how many targets one request may crash: the three after which
	// it is refused, and three more that it may reach before the refusal applies.
	maxCrashes = 6
	// restartDelay is how long a crashed target is down.
	restartDelay = 200 * time.Millisecond
)

// A request crashes the target that runs it, and its caller retries forever. A
// host that keeps no record of such crashes sends the request on: to the restarted
// target, or to the shard's next owner, which crashes as well. With one host and one
// caller, each crash is caused by a separate request and the host observes every one.
func TestCrashingRequestReachesFewTargets(t *testing.T) {
	var mu sync.Mutex
	var running *loopback.Fleet // nil before the start and after the test
	crashes := 0
	crashOn := func(name, key string) bool {
		mu.Lock()
		defer mu.Unlock()
		if key != fatalKey || running == nil {
			return false
		}
		crashes++
		running.Targets[name].Kill()
		time.AfterFunc(restartDelay, func() {
			mu.Lock()
			defer mu.Unlock()
			if running == nil {
				return
			}
			if err := running.Targets[name].Start(); err != nil {
				t.Errorf("restart target %s: %v", name, err)
			}
		})
		return true
	}
	fleet := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSpec{{Name: "routeboard", Upstreams: 4, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), Target: standin.Options{WorkTime: time.Millisecond, CrashOn: crashOn}})
	setRunning := func(fleet *loopback.Fleet) {
		mu.Lock()
		defer mu.Unlock()
		running = fleet
	}
	setRunning(fleet)
	t.Cleanup(func() { setRunning(nil) })
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if r := call(t, http.MethodGet, fleet.Hosts[0].URL+"/routeboard/"+fatalKey, ""); r.status == http.StatusOK {
			t.Fatal("the request that crashes its target was served")
		}
	}
	mu.Lock()
	n := crashes
	mu.Unlock()
	if n > maxCrashes {
		t.Errorf("the request crashed %d targets, want at most %d", n, maxCrashes)
	}
	t.Logf("%d targets crashed", n)
	waitServed(t, fleet.Hosts[0], testKey, "")
}

// maxRecoveryTime bounds the time from a failure of all targets until the key is
// served again: a refused fingerprint gets a trial request every ten seconds.
const maxRecoveryTime = 12 * time.Second

// All targets fail at the same moment, three times, while callers request a popular
// key and many others, so each time a target crashes while it runs requests for the
// popular key. If these correlated failures counted as crashes caused by the request,
// the key would be refused for a day; it must be served again within seconds.
func TestPopularKeyIsServedAfterCorrelatedFailures(t *testing.T) {
	fleet := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 8, HostsPerDC: 1,
		Services: []manifest.ServiceSpec{{Name: "routeboard", Upstreams: 4, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), Target: standin.Options{WorkTime: 20 * time.Millisecond}})
	host := fleet.Hosts[0]
	waitServed(t, host, testKey, "")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				key := testKey
				if n%4 == 0 {
					key = fmt.Sprint("key-", c, "-", n)
				}
				call(t, http.MethodGet, host.URL+"/routeboard/"+key, "")
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	for range 3 {
		time.Sleep(500 * time.Millisecond)
		for _, target := range fleet.Targets {
			target.Kill()
		}
		time.Sleep(restartDelay)
		for name, target := range fleet.Targets {
			if err := target.Start(); err != nil {
				t.Errorf("restart target %s: %v", name, err)
			}
		}
		served := func() bool {
			return call(t, http.MethodGet, host.URL+"/routeboard/"+testKey, "").status == http.StatusOK
		}
		for deadline := time.Now().Add(maxRecoveryTime); !served(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("key is not served %v after all targets failed", maxRecoveryTime)
			}
		}
	}
	close(stop)
	callers.Wait()
}
