package daemon_test

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/standin/loopback"
)

// Each upstream is renewed by two of the data centre's three entry hosts.
// Both renewers of the key's owner stop; the owner's grant lapses and the
// caller at the third host is refused (FENCED, at once, Retry-After) until
// the stopped hosts' heartbeats age past the host lease, when the third
// host takes the renewal over and the key is served again by its owner.
func TestSurvivingHostTakesOverGrantRenewal(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 3)
	owner, _ := waitServed(t, f.Hosts[0], testKey, "")
	var names []string
	byName := map[string]*loopback.Host{}
	for _, h := range f.Hosts {
		names = append(names, h.Name)
		byName[h.Name] = h
	}
	renewers := placement.Pick(owner, names, 2)
	var survivor *loopback.Host
	for _, h := range f.Hosts {
		if h.Name != renewers[0] && h.Name != renewers[1] {
			survivor = h
		}
	}
	start := time.Now()
	for _, n := range renewers {
		if err := byName[n].Stop(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(loopback.DefaultSettings().GrantTTL * 2)
	got, took := waitServed(t, survivor, testKey, "")
	t.Logf("owner %s renewed by %v; served by %s via %s %v after they stopped", owner, renewers, got, survivor.Name, time.Since(start))
	if took > 3*time.Second {
		t.Fatalf("served again after %v; want under 3s", took)
	}
}
