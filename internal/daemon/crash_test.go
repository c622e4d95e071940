package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/standin/loopback"
	stand "github.com/papayatide/papayatide/internal/standin/target"
)

const (
	fatalKey = "job-that-ends-its-target"
	// maxCrashes is how many targets one request may end: the three that show
	// what it does, and three more that it may reach before that is acted on.
	maxCrashes = 6
	// restartDelay is how long after its end a target is back.
	restartDelay = 200 * time.Millisecond
)

// One request ends the target that runs it. Its caller asks again and again;
// the target comes back, or its shard gets another owner, which ends as well,
// without end: the host keeps nothing of what a request did to its targets. The
// evidence: with one host and one caller every end has a first send to itself.
func TestRequestThatCrashesTargetsIsSentToFew(t *testing.T) {
	var mu sync.Mutex
	var f *loopback.Fleet
	ended := 0
	fatal := func(name, key string) bool {
		mu.Lock()
		defer mu.Unlock()
		if key != fatalKey || f == nil {
			return false
		}
		ended++
		f.Targets[name].Kill()
		time.AfterFunc(restartDelay, func() {
			mu.Lock()
			defer mu.Unlock()
			if f == nil {
				return
			}
			if err := f.Targets[name].Start(); err != nil {
				t.Errorf("%s does not start again: %v", name, err)
			}
		})
		return true
	}
	fleet := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSize{{Name: "routeboard", Upstreams: 4, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), Target: stand.Options{WorkTime: time.Millisecond, CrashOn: fatal}})
	set := func(to *loopback.Fleet) {
		mu.Lock()
		defer mu.Unlock()
		f = to
	}
	set(fleet)
	t.Cleanup(func() { set(nil) })
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r := call(t, http.MethodGet, fleet.Hosts[0].URL+"/routeboard/"+fatalKey, ""); r.status == http.StatusOK {
			t.Fatal("it was answered")
		}
	}
	mu.Lock()
	n := ended
	mu.Unlock()
	if n > maxCrashes {
		t.Errorf("it ended %d targets, at most %d may be tried", n, maxCrashes)
	}
	t.Logf("%d targets ended", n)
	waitServed(t, fleet.Hosts[0], testKey, "")
}

// backAfterLoss is how long after a loss callers are served again at the latest: what
// is refused for it is tried again once in ten seconds.
const maxRecoveryTime = 12 * time.Second

// All targets end at one moment, three times, while callers ask for a popular key and
// many others. Each loss ends one more target under that key, so that it was refused
// for a day. It is served again within seconds.
func TestPopularKeyIsServedAfterCorrelatedFailures(t *testing.T) {
	fleet := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 8, HostsPerDC: 1,
		Services: []manifest.ServiceSize{{Name: "routeboard", Upstreams: 4, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), Target: stand.Options{WorkTime: 20 * time.Millisecond}})
	host := fleet.Hosts[0]
	waitServed(t, host, testKey, "")
	over := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-over:
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
				t.Errorf("%s does not start again: %v", name, err)
			}
		}
		answered := func() bool {
			return call(t, http.MethodGet, host.URL+"/routeboard/"+testKey, "").status == http.StatusOK
		}
		for end := time.Now().Add(maxRecoveryTime); !answered(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not served %v after the loss", maxRecoveryTime)
			}
		}
	}
	close(over)
	callers.Wait()
}
