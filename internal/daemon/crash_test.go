package daemon_test

import (
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
	// mostEnded is how many targets one request may end: the three that show
	// what it does, and three more that it may reach before that is acted on.
	mostEnded = 6
	// backAfter is how long after its end a target is back.
	backAfter = 200 * time.Millisecond
)

// One request ends the target that runs it. Its caller asks again and again;
// the target comes back, or its shard gets another owner, which ends as well,
// without end: the host keeps nothing of what a request did to its targets. The
// evidence: with one host and one caller every end has a first send to itself.
func TestRequestThatEndsItsTargetsIsSentToFew(t *testing.T) {
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
		time.AfterFunc(backAfter, func() {
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
	fleet := startSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSize{{Name: "routeboard", Upstreams: 4, Checked: true}},
		Settings: loopback.DefaultSettings(), Target: stand.Options{WorkTime: time.Millisecond, Fatal: fatal}})
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
	if n > mostEnded {
		t.Errorf("it ended %d targets, at most %d may be tried", n, mostEnded)
	}
	t.Logf("%d targets ended", n)
	servedBy(t, fleet.Hosts[0], testKey, "")
}
