package balance

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/feedback"
)

var (
	testClass = desired.Class{Service: "s", Priority: 1, Objective: 600 * time.Millisecond}
	testUp    = &catalogue.Upstream{ID: "u", Service: "s", Slots: 6, DataCentre: "dc"}
)

// learnt returns a picker that has learnt that requests of testClass take 100 ms, and the time.
// Each response had the given load report.
func learnt(report feedback.Load) (*Picker, time.Time) {
	p, now := NewPicker("h"), time.Unix(1000, 0)
	for range 20 {
		s := p.StartSend(testUp, testClass, now)
		now = now.Add(100 * time.Millisecond)
		p.FinishSend(s, Served, 100*time.Millisecond, report, now)
	}
	return p, now
}

func wantAbout(t *testing.T, name string, got, want time.Duration) {
	t.Helper()
	if (got - want).Abs() > want/20+time.Millisecond {
		t.Errorf("%s: %v, want about %v", name, got, want)
	}
}

// A load report must count in full when it is new, less with its age and not at all after
// 400 ms: hosts would avoid an upstream whose queue has long been empty.
func TestLoadReportCountsByAge(t *testing.T) {
	p, now := learnt(feedback.Load{Running: 2, Slots: 6, WorkFactor: 1})
	s := p.StartSend(testUp, testClass, now)
	p.FinishSend(s, Inconclusive, 0, feedback.Load{Running: 6, Waiting: 17, Slots: 6, WorkFactor: 1}, now)
	for _, c := range []struct{ age, want time.Duration }{{0, 300 * time.Millisecond}, {200 * time.Millisecond, 108 * time.Millisecond}, {400 * time.Millisecond, 0}} {
		queueing, work, known := p.Estimate(testUp, testClass, now.Add(c.age))
		wantAbout(t, "queueing after "+c.age.String(), queueing, c.want)
		if wantAbout(t, "work", work, 100*time.Millisecond); !known {
			t.Error("the class is not known")
		}
	}
}

// A machine that is three times as slow for the moment delays a request of 100 ms by 200 ms, but
// one of several seconds only by what it leaves undone until it recovers.
func TestSlowMomentDelaysShortRequests(t *testing.T) {
	for _, c := range []struct{ work, want time.Duration }{{100 * time.Millisecond, 300 * time.Millisecond}, {3 * time.Second, 3267 * time.Millisecond}} {
		p, now := learnt(feedback.Load{Running: 2, Slots: 6, WorkFactor: 1})
		p.SetClassWork(testClass, c.work)
		p.states["u"].work.report, p.states["u"].work.reportAt = feedback.Load{Running: 2, Slots: 6, WorkFactor: 3}, now
		_, work, _ := p.Estimate(testUp, testClass, now)
		wantAbout(t, "work time while slow", work, c.want)
		_, work, _ = p.Estimate(testUp, testClass, now.Add(loadReportTTL))
		wantAbout(t, "work time after that", work, c.work)
	}
}

// Guards against a full upstream that stops responding being avoided only when requests time out, and
// against one slow request counting as silence in spite of a response or load report.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	other := &catalogue.Upstream{ID: "v", Service: "s", Slots: 6, DataCentre: "dc"}
	c := Criteria{LocalDataCentre: "dc", Class: testClass}
	for _, k := range []struct {
		name      string
		report    feedback.Load
		requests  int
		responded bool
		want      bool
	}{{"silent", feedback.Load{}, 2, false, true}, {"one request", feedback.Load{}, 1, false, false}, {"responded", feedback.Load{}, 2, true, false},
		{"load report", feedback.Load{Running: 2, Slots: 6, WorkFactor: 1}, 2, false, false}} {
		p, now := learnt(k.report)
		silences := 0
		p.OnSilent = func(string) { silences++ }
		for range k.requests {
			p.StartSend(testUp, testClass, now)
		}
		s := p.StartSend(testUp, desired.Class{Service: "s", Priority: 9}, now)
		later := now.Add(310 * time.Millisecond)
		if k.responded {
			p.FinishSend(s, Served, 200*time.Millisecond, feedback.Load{}, now.Add(200*time.Millisecond))
		}
		// Requests in flight must not decide the choice.
		for range 20 {
			p.StartSend(other, testClass, later)
		}
		for range 5 {
			if u := p.Pick([]*catalogue.Upstream{testUp, other}, c, later); (u != testUp) != k.want {
				t.Errorf("%s: picked %s", k.name, u.ID)
			}
		}
		if (silences == 1) != k.want {
			t.Errorf("%s: %d calls of OnSilent", k.name, silences)
		}
		if queueing, _, _ := p.Estimate(testUp, testClass, later); k.want && (queueing < 300*time.Millisecond || queueing > time.Second) {
			t.Errorf("%s: queueing time %v at a silent upstream", k.name, queueing)
		}
	}
	// One that has never responded to this host, which has the fleet's value of the class's work.
	p, now := NewPicker("h"), time.Unix(1000, 0)
	p.SetClassWork(testClass, 100*time.Millisecond)
	p.StartSend(testUp, testClass, now)
	p.StartSend(testUp, testClass, now)
	if queueing, _, _ := p.Estimate(testUp, testClass, now.Add(400*time.Millisecond)); queueing != 400*time.Millisecond {
		t.Errorf("queueing time %v at an upstream that has never responded", queueing)
	}
}

// The fleet's value must replace this host's own while it is current, and no longer: a host that
// sent it and is gone must not fix the work of a class for ever.
func TestClassWorkOfTheFleet(t *testing.T) {
	p, now := learnt(feedback.Load{})
	other := desired.Class{Service: "s", Priority: 2}
	if _, _, known := p.Estimate(testUp, other, now); known {
		t.Error("a class without responses is known")
	}
	p.SetClassWork(testClass, 250*time.Millisecond)
	p.SetClassWork(other, 900*time.Millisecond)
	for _, c := range []struct {
		age         time.Duration
		class       desired.Class
		want        time.Duration
		description string
	}{{0, testClass, 250 * time.Millisecond, "current"}, {0, other, 900 * time.Millisecond, "current, without own responses"},
		{fleetWorkTTL + time.Second, testClass, 100 * time.Millisecond, "old"}, {fleetWorkTTL + time.Second, other, 900 * time.Millisecond, "old, without own responses"}} {
		_, work, _ := p.Estimate(testUp, c.class, now.Add(c.age))
		wantAbout(t, c.description, work, c.want)
	}
}
