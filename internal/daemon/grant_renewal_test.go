package daemon_test

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/standin/loopback"
)

// Two of a data centre's three entry hosts renew each upstream's grant. Both
// renewers of the key's owner stop and its grant expires. The third host gets
// FENCED with Retry-After until their heartbeats have timed out. It must then take over
// the renewal, so that the owner serves the key again.
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
	server, took := waitServed(t, survivor, testKey, "")
	t.Logf("owner %s, renewers %v: %s served the key via %s %v after the renewers stopped", owner, renewers, server, survivor.Name, time.Since(start))
	if took > 3*time.Second {
		t.Fatalf("served %v after the wait for grant expiry; want under 3s", took)
	}
}
