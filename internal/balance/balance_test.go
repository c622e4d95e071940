package balance

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/feedback"
)

// This host's admission limit for one of two upstreams has shrunk until the next request
// must wait, though none is in flight. Pick must return the other upstream: by its requests
// in flight the first looks idle, but its limiter would delay or refuse the request.
func TestPickAvoidsUpstreamAtItsAdmissionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, ups := NewPicker("h"), manyUpstreams(2)
		limitRange := admission.HostLimitRange(3, 0, 100)
		for range 40 {
			if tk := p.Limiter("u0").Acquire(context.Background(), 0, limitRange); tk != nil {
				tk.Done(admission.Overloaded, time.Millisecond)
			}
			time.Sleep(time.Millisecond)
		}
		if s := p.Limiter("u0").State(); s.ExpectedWait == 0 {
			t.Fatalf("upstream u0 still admits a request at once: %+v", s)
		}
		if u := p.Pick(ups, Criteria{LocalDataCentre: "dc"}, time.Now()); u.ID != "u1" {
			t.Errorf("picked %s, want u1", u.ID)
		}
	})
}

// Guards against a host never sending to an upstream that it has not measured: the latency
// assumed for it is several times that of the measured one, which keeps being preferred while
// it has requests in flight. The other hosts' estimate must count instead.
func TestPickUsesUnmeasuredUpstreamThatOtherHostsMeasured(t *testing.T) {
	const workTime = 20 * time.Millisecond
	now := time.Now()
	p, ups := NewPicker("h"), manyUpstreams(2)
	limitRange := admission.HostLimitRange(3, 0, 1)
	for range 50 {
		p.Limiter("u0").Acquire(context.Background(), 0, limitRange).Done(admission.InTime, workTime)
	}
	if u := p.Pick(ups, Criteria{LocalDataCentre: "dc"}, now); u.ID != "u0" {
		t.Errorf("picked %s, of which nothing is known, instead of an idle upstream", u.ID)
	}
	p.SetPeerLoads([]PeerLoad{{ID: "u0", WorkTime: workTime}, {ID: "u1", WorkTime: workTime}}, now)
	p.Limiter("u0").Acquire(context.Background(), 0, limitRange)
	if u := p.Pick(ups, Criteria{LocalDataCentre: "dc"}, now); u.ID != "u1" {
		t.Errorf("picked %s, which has a request in flight, instead of one that is idle and as fast", u.ID)
	}
}

// Traffic between data centres is expensive: Pick prefers the local of two idle upstreams.
// It returns the remote one while the local one is ejected or draining, and never an
// excluded one.
func TestPick(t *testing.T) {
	now := time.Now()
	p, ups := NewPicker("h"), manyUpstreams(2)
	ups[0].DataCentre = "far"
	c := Criteria{LocalDataCentre: "dc", RemotePenalty: 100 * time.Millisecond}
	if u := p.Pick(ups, c, now); u.ID != "u1" {
		t.Errorf("picked the remote upstream though both are idle")
	}
	for range ejectionThreshold {
		p.Done("u1", Failed, 0, now)
	}
	if u := p.Pick(ups, c, now); u.ID != "u0" || !p.IsEjected("u1", now) {
		t.Errorf("picked %s though u1 is ejected", u.ID)
	}
	if u := p.Pick(ups, c, now.Add(maxEjectionTime)); u.ID != "u1" {
		t.Errorf("the local upstream is not picked after its ejection")
	}
	ups[1].Leaving = true
	if u := p.Pick(ups, c, now.Add(maxEjectionTime)); u.ID != "u0" {
		t.Errorf("picked the draining upstream")
	}
	c.Excluded = []string{"u0"}
	if u := p.Pick(ups, c, now); u != nil {
		t.Errorf("picked %s though it is excluded", u.ID)
	}
}

// BenchmarkPick measures Pick for services of 10, 100 and 1,000 upstreams: the time should
// hardly depend on the number, without allocations.
func BenchmarkPick(b *testing.B) {
	for _, competing := range []bool{false, true} {
		for _, n := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("competing=%v/%d", competing, n), func(b *testing.B) { benchmarkPick(b, n, competing) })
		}
	}
}

func benchmarkPick(b *testing.B, n int, competing bool) {
	p, ups := NewPicker("h"), manyUpstreams(n)
	for i, u := range ups {
		u.DataCentre = fmt.Sprint("dc", i%3)
	}
	c := Criteria{LocalDataCentre: "dc0", RemotePenalty: 100 * time.Millisecond}
	now := time.Now()
	if competing {
		c.Class = testClass
		for i := range 1000 {
			s := p.StartSend(ups[i%n], testClass, now)
			p.FinishSend(s, Served, 100*time.Millisecond, feedback.Load{Running: 2, Slots: 3, WorkFactor: 1}, now)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(ups, c, now)
	}
}
