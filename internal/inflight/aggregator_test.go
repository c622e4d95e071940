package inflight

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
)

// peerLoad returns what the sum tells a host of an upstream.
func peerLoad(s *Aggregator, host, id string, now time.Time) balance.PeerLoad {
	return s.PeerLoads(host, []string{id}, now)[0]
}

// Each host is told what the others have, without what it has itself, by each
// host's latest report. A host that stops reporting, or an upstream that is no
// longer listed, is forgotten: callers would be kept from an idle upstream.
func TestPeerLoadsSumLatestReportsOfOtherHosts(t *testing.T) {
	listed := catalogue.NewSnapshot(map[string]*catalogue.Upstream{"a": {ID: "a", Service: "s", Slots: 3}, "b": {ID: "b", Service: "s", Slots: 3}})
	now := time.Unix(1000, 0)
	s := New(func() *catalogue.Snapshot { return listed }, now)
	s.Record("h1", []balance.LoadStats{{ID: "a", InFlight: 9}}, now)
	s.Record("h1", []balance.LoadStats{{ID: "a", InFlight: 2}, {ID: "b", InFlight: 1}}, now)
	s.Record("h2", []balance.LoadStats{{ID: "a", InFlight: 3}}, now)
	for _, c := range []struct {
		host, id string
		want     int
	}{{"h1", "a", 3}, {"h2", "a", 2}, {"h3", "a", 5}, {"h2", "b", 1}, {"h1", "b", 0}} {
		if got := peerLoad(s, c.host, c.id, now).InFlight; got != c.want {
			t.Errorf("%s is told that others have %d at %s, want %d", c.host, got, c.id, c.want)
		}
	}
	later := now.Add(reportTTL + time.Millisecond)
	s.Record("h2", []balance.LoadStats{{ID: "a", InFlight: 4}}, later)
	if got := peerLoad(s, "h3", "a", later).InFlight; got != 4 {
		t.Errorf("%d at a after h1 fell silent, want h2's 4", got)
	}
	listed = catalogue.NewSnapshot(map[string]*catalogue.Upstream{"b": listed.ByID["b"]})
	if got := peerLoad(s, "h3", "a", later.Add(workTimeInterval)); got.ID != "" {
		t.Errorf("told of an upstream that is gone: %+v", got)
	}
}

// Hosts see a slow and a fast upstream a few times each; together they know
// which is which.
func TestWorkTimesCombineReportsOfHosts(t *testing.T) {
	listed := catalogue.NewSnapshot(map[string]*catalogue.Upstream{"slow": {ID: "slow", Service: "s", Slots: 3}, "fast": {ID: "fast", Service: "s", Slots: 3}})
	now := time.Unix(1000, 0)
	s := New(func() *catalogue.Snapshot { return listed }, now)
	for i := range 20 {
		now = now.Add(200 * time.Millisecond)
		s.Record(string(rune('a'+i)), []balance.LoadStats{{ID: "slow", Answered: 1, Latency: 500 * time.Millisecond},
			{ID: "fast", Answered: 1, Latency: 200 * time.Millisecond}}, now)
	}
	slow, fast := peerLoad(s, "x", "slow", now).WorkTime, peerLoad(s, "x", "fast", now).WorkTime
	if slow < 3*fast/2 {
		t.Errorf("work takes %v at the slow one and %v at the fast one", slow, fast)
	}
}
