package entryhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayatide/papayatide/rpc/refusedpb"
)

// An operator clears a refused fingerprint on one host. The other hosts must stop
// refusing it too, once they have read the change from the log.
func TestClearedFingerprintIsClearedOnAllHosts(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 3, 0)
		for i := range 5 {
			f.addServiceUpstream("plain", fmt.Sprint("plain", i))
		}
		f.waitPathServed(unkeyedRoute, "/x", startupTimeout)
		stop := f.sendFatalRequests(unkeyedRoute)
		f.waitCrashes(3, 6*maxFailover)
		stop()
		time.Sleep(settleTime)
		list := func(h *testHost) []*refusedpb.Content {
			reply, err := refusedpb.NewRefusedProtobufClient("http://"+h.cfg.PeerListen, f.http).List(t.Context(), &refusedpb.ListRequest{})
			if err != nil {
				t.Fatal(err)
			}
			return reply.Contents
		}
		for _, h := range f.hosts {
			if got := list(h); len(got) != 1 || len(got[0].Servers) < 3 {
				t.Fatalf("%s refuses %v", h.cfg.Host, got)
			}
		}
		fingerprint := list(f.hosts[0])[0].Content
		reply, err := refusedpb.NewRefusedProtobufClient("http://"+f.hosts[0].cfg.PeerListen, f.http).Clear(t.Context(),
			&refusedpb.ClearRequest{Content: fingerprint})
		if err != nil || !reply.Known {
			t.Fatalf("clear: %v, %v", reply, err)
		}
		time.Sleep(settleTime)
		for _, h := range f.hosts {
			if got := list(h); len(got) > 0 {
				t.Errorf("%s still refuses %v", h.cfg.Host, got)
			}
		}
	})
}
