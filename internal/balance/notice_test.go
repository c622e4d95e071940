package balance

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/feedback"
)

// Guards against a notice of hosts that are cut off from an upstream counting for a host that gets
// responses from it, against one that outlasts its term, and against requests being sent elsewhere
// when there is no other upstream.
func TestSilenceNoticeCountsUntilResponse(t *testing.T) {
	other := &catalogue.Upstream{ID: "v", Service: "s", Slots: 6, DataCentre: "dc"}
	for _, k := range []struct {
		name string
		act  func(p *Picker, now time.Time)
		wait time.Duration
		want bool
	}{{"in force", func(*Picker, time.Time) {}, 0, true},
		{"earlier response", func(p *Picker, now time.Time) { respond(p, now.Add(-300*time.Millisecond)) }, 0, true},
		{"later response", func(p *Picker, now time.Time) { respond(p, now.Add(-time.Millisecond)) }, 0, false},
		{"withdrawn", func(p *Picker, now time.Time) { p.SetSilenceNotices(nil, now) }, 0, false},
		{"expired", func(*Picker, time.Time) {}, time.Second, false}} {
		p, now := learnt(feedback.Load{})
		now = now.Add(time.Second)
		noticed := 0
		p.OnSilenceNotice = func(string, time.Duration) { noticed++ }
		for range 2 {
			p.SetSilenceNotices([]SilenceNotice{{ID: "u", For: 200 * time.Millisecond, Left: time.Second}}, now)
		}
		k.act(p, now)
		now = now.Add(k.wait)
		c := Criteria{LocalDataCentre: "dc", Class: testClass}
		// Requests in flight must not decide the choice.
		for range 20 {
			p.StartSend(other, testClass, now)
		}
		if u := p.Pick([]*catalogue.Upstream{testUp, other}, c, now); (u != testUp) != k.want {
			t.Errorf("%s: picked %s", k.name, u.ID)
		}
		if queueing, _, _ := p.Estimate(testUp, testClass, now); (queueing >= 200*time.Millisecond) != k.want {
			t.Errorf("%s: queueing time %v", k.name, queueing)
		}
		if n := p.NoticedSilences(now); (n == 1) != k.want || noticed != 1 {
			t.Errorf("%s: %d upstreams silent by notices, %d calls of OnSilenceNotice", k.name, n, noticed)
		}
		if u := p.Pick([]*catalogue.Upstream{testUp}, c, now); u != testUp {
			t.Errorf("%s: the only upstream is not picked", k.name)
		}
	}
}

// respond makes the picker receive a response of testUp.
func respond(p *Picker, now time.Time) {
	p.FinishSend(p.StartSend(testUp, testClass, now), Served, 100*time.Millisecond, feedback.Load{}, now)
}
