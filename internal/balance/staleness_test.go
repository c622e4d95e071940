package balance

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/feedback"
)

// Guards against all hosts sending short requests to the upstream that the last load data shows idle:
// the other one has long finished what the data shows there. Long requests are still there.
func TestFinishedRequestsOfPeersDoNotCount(t *testing.T) {
	ups := []*catalogue.Upstream{{ID: "a", Service: "s", Slots: 4, DataCentre: "dc"}, {ID: "b", Service: "s", Slots: 4, DataCentre: "dc"}}
	for _, c := range []struct {
		work     time.Duration
		min, max time.Duration
	}{{20 * time.Millisecond, 0, 10 * time.Millisecond}, {2 * time.Second, 7 * time.Second, 8500 * time.Millisecond}} {
		p, now := NewPicker("h"), time.Unix(1000, 0)
		p.SetClassWork(testClass, c.work)
		for i := range 60 {
			now = now.Add(330 * time.Millisecond)
			for j, u := range ups {
				load := PeerLoad{ID: u.ID, WorkTime: c.work}
				if i%2 == j {
					load.InFlight, load.WorkInFlight = 20, 20*c.work
				}
				p.SetPeerLoads([]PeerLoad{load}, now)
				p.FinishSend(p.StartSend(u, testClass, now), Inconclusive, 0, feedback.Load{}, now)
			}
		}
		full, _, _ := p.Estimate(ups[1], testClass, now)
		idle, _, _ := p.Estimate(ups[0], testClass, now)
		if diff := full - idle; diff < c.min || diff > c.max {
			t.Errorf("work %v: queueing times %v at the upstream with 20 requests in the data and %v at the other one", c.work, full, idle)
		}
	}
}
