package balance

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/feedback"
)

// Guards against one mean over all classes, which refused payments of 160 ms because browsing takes
// 930 ms, and against queueing or an upstream's speed being taken for work of a class.
func TestEstimateByClass(t *testing.T) {
	payments, browsing := testClass, desired.Class{Service: "s", Priority: 2, Objective: 5 * time.Second}
	p, now := NewPicker("h"), time.Now()
	ups := []*catalogue.Upstream{{ID: "fast", Service: "s", Slots: 6, DataCentre: "dc"}, {ID: "mid", Service: "s", Slots: 6, DataCentre: "dc"}, {ID: "slow", Service: "s", Slots: 6, DataCentre: "dc"}}
	p.Pick(ups, Criteria{LocalDataCentre: "dc"}, now)
	loads := []PeerLoad{{ID: "fast", WorkTime: 200 * time.Millisecond}, {ID: "mid", WorkTime: 400 * time.Millisecond, InFlight: 5}, {ID: "slow", WorkTime: 800 * time.Millisecond, InFlight: 17}}
	p.SetPeerLoads(loads, now)
	if _, _, known := p.Estimate(ups[0], payments, now); known {
		t.Error("an estimate without any response")
	}
	respond := func(u *catalogue.Upstream, class desired.Class, took time.Duration) {
		p.FinishSend(p.StartSend(u, class, now), Served, took, feedback.Load{}, now)
	}
	p.SetClassWork(payments, 160*time.Millisecond)
	p.SetClassWork(browsing, 930*time.Millisecond)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		p.SetPeerLoads(loads, now)
		respond(ups[0], payments, 80*time.Millisecond)
		respond(ups[2], payments, 820*time.Millisecond)
		respond(ups[1], browsing, 930*time.Millisecond)
		respond(ups[1], browsing, 930*time.Millisecond)
	}
	queueing, work, known := p.Estimate(ups[1], payments, now)
	wantAbout(t, "the work of a payment at the median upstream", work, 160*time.Millisecond)
	if queueing > 100*time.Millisecond || !known {
		t.Errorf("queueing %v, known %v with a free slot", queueing, known)
	}
	_, work, _ = p.Estimate(ups[0], browsing, now)
	wantAbout(t, "the work of a browsing request at the fast upstream", work, 465*time.Millisecond)
	// By the requests in flight the queueing would be 2.18 s, but responses there took 500 ms beyond
	// their work. The estimate must follow the responses.
	queueing, work, _ = p.Estimate(ups[2], payments, now)
	wantAbout(t, "the work of a payment at the slow upstream", work, 320*time.Millisecond)
	if queueing < 450*time.Millisecond || queueing > 550*time.Millisecond {
		t.Errorf("the queueing at the slow upstream is %v, want 500 ms to a tenth", queueing)
	}
	if free := p.FreeSlots(ups[2], now.Add(2*peerLoadTTL)); free != 6 {
		t.Errorf("%d free slots by this host's own requests once the load data is old, want 6", free)
	}
}
