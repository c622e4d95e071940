package balance

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/feedback"
)

// Guards against a notice of hosts that are cut off from an upstream counting for a host that gets
// responses from it, and against one that outlasts its term or its withdrawal.
func TestSilenceNoticeCountsUntilResponse(t *testing.T) {
	other := &catalogue.Upstream{ID: "v", Service: "s", Slots: 6, DataCentre: "dc"}
	c := Criteria{LocalDataCentre: "dc", Class: testClass}
	for _, k := range []struct {
		name      string
		responded time.Duration // before the notice
		withdrawn bool
		wait      time.Duration
		want      bool
	}{{"in force", 300 * time.Millisecond, false, 0, true}, {"later response", time.Millisecond, false, 0, false},
		{"withdrawn", time.Second, true, 0, false}, {"expired", time.Second, false, time.Second, false}} {
		p, now := learnt(feedback.Load{})
		now = now.Add(time.Second)
		noticed := 0
		p.OnSilenceNotice = func(string, time.Duration) { noticed++ }
		for range 2 {
			p.SetSilenceNotices([]SilenceNotice{{ID: "u", For: 200 * time.Millisecond, Left: time.Second}}, now)
		}
		p.FinishSend(p.StartSend(testUp, testClass, now), Served, 0, feedback.Load{}, now.Add(-k.responded))
		if k.withdrawn {
			p.SetSilenceNotices(nil, now)
		}
		now = now.Add(k.wait)
		// Requests in flight must not decide the choice.
		for range 20 {
			p.StartSend(other, testClass, now)
		}
		u, only := p.Pick([]*catalogue.Upstream{testUp, other}, c, now), p.Pick([]*catalogue.Upstream{testUp}, c, now)
		queueing, _, _ := p.Estimate(testUp, testClass, now)
		if n := p.NoticedSilences(now); (u != testUp) != k.want || (queueing >= 200*time.Millisecond) != k.want || (n == 1) != k.want || only != testUp || noticed != 1 {
			t.Errorf("%s: picked %s, without another upstream %v; queueing time %v; %d silent by notices, OnSilenceNotice called %d times", k.name, u.ID, only, queueing, n, noticed)
		}
	}
}
