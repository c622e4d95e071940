package balance

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

// Guards against the usual share of requests to an upstream that restarted at once, so that its port
// was never found closed, while the log service could not tell: its connections have all ended.
// Other ends of connections must not slow an upstream down.
func TestUpstreamWithLostConnectionsIsColdWhileEntriesAreStale(t *testing.T) {
	const slowStart = 3 * time.Second
	start := time.Unix(1000, 0)
	u := &catalogue.Upstream{ID: "u@1"}
	after := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name     string
		observe  func(p *Picker)
		at, want time.Duration // want is the end of the slow start; 0 for none
	}{
		{"entries are stale", func(*Picker) {}, 5 * time.Second, 8 * time.Second},
		{"first response since", func(p *Picker) { p.Done(u.ID, Served, 0, after(4500*time.Millisecond)) }, 5 * time.Second, 7500 * time.Millisecond},
		{"entries are fresh", func(p *Picker) { p.MarkSynced(after(4 * time.Second)) }, 5 * time.Second, 0},
		{"entries were read since", func(p *Picker) { p.MarkSynced(after(4*time.Second + maxEntryWriteDelay + 1)) }, 20 * time.Second, 0},
		{"response on an older connection", func(p *Picker) { p.RecordSameProcess(u.ID, after(time.Second), after(5*time.Second)) }, 5 * time.Second, 0},
		{"gap after it", func(p *Picker) { p.RecordGap(after(5*time.Second), after(6*time.Second)) }, 7 * time.Second, 10 * time.Second},
		{"response to an earlier request", func(p *Picker) { p.RecordSameProcess(u.ID, after(time.Second), after(3*time.Second)) }, 5 * time.Second, 8 * time.Second},
		{"response on a connection opened between two losses", func(p *Picker) {
			p.RecordLostConnections(u.ID, after(6*time.Second))
			p.RecordSameProcess(u.ID, after(4500*time.Millisecond), after(7*time.Second))
		}, 8 * time.Second, 11 * time.Second},
		{"response on a connection of that moment", func(p *Picker) { p.RecordSameProcess(u.ID, after(3500*time.Millisecond), after(5*time.Second)) }, 5 * time.Second, 8 * time.Second},
	} {
		p := NewPicker("host")
		p.MarkSynced(start)
		p.RecordLostConnections(u.ID, after(4*time.Second))
		c.observe(p)
		want := time.Time{}
		if c.want > 0 {
			want = after(c.want)
		}
		if got := p.slowStartUntil(p.state(u.ID), u, slowStart, after(c.at)); !got.Equal(want) {
			t.Errorf("%s: cold until %v, want %v", c.name, got.Sub(start), want.Sub(start))
		}
	}
}
