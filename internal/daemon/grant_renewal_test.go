package daemon_test

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/standin/loopback"
)

// Two of a data centre's three entry hosts are responsible for each upstream and renew its
// grant. Both that renew the grant of the key's owner stop, and it expires. The third host gets
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
	responsible := placement.Pick(owner, names, 2)
	var survivor *loopback.Host
	for _, h := range f.Hosts {
		if h.Name != responsible[0] && h.Name != responsible[1] {
			survivor = h
		}
	}
	start := time.Now()
	for _, n := range responsible {
		if err := byName[n].Stop(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(loopback.DefaultSettings().GrantTTL * 2)
	server, took := waitServed(t, survivor, testKey, "")
	t.Logf("owner %s, responsible hosts %v: %s served the key via %s %v after these hosts stopped", owner, responsible, server, survivor.Name, time.Since(start))
	if took > 3*time.Second {
		t.Fatalf("served %v after the wait for grant expiry; want under 3s", took)
	}
}
