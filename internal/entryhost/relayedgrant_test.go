package entryhost

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/peer"
)

// Guards against a grant that a helper sends after the planner has stopped waiting for it: another
// upstream may own the keys by then.
func TestHelperSendsNoLateGrant(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 1, 3)
		f.waitServed(f.hosts[0], startupTimeout)
		client := peer.NewClient(f.http)
		r := ownership.Range{From: 1, To: 2, Owner: "u0", FencingToken: 1 << 40}
		for _, late := range []time.Duration{0, 150 * time.Millisecond} {
			now := fleetClock()
			time.Sleep(late)
			_, err := client.RelayGrant(context.Background(), f.hosts[0].cfg.PeerListen, peer.RelayedGrant{Addr: "u0:80", Range: r, TTL: time.Second,
				SendBy: now.Add(maxGrantSendDelay), EndBy: now.Add(grantTimeout)})
			if late == 0 && err != nil || late > 0 && !errors.Is(err, ownership.ErrNotSent) {
				t.Errorf("%v late: %v", late, err)
			}
		}
	})
}
