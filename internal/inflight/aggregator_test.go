package inflight

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
)

// newAggregator returns an aggregator of the load at the given upstreams.
func newAggregator(now time.Time, ups ...*catalogue.Upstream) *Aggregator {
	byID := map[string]*catalogue.Upstream{}
	for _, u := range ups {
		byID[u.ID] = u
	}
	snapshot := catalogue.NewSnapshot(byID)
	return New(func() *catalogue.Snapshot { return snapshot }, now)
}

// peerLoad returns the load of the other hosts at an upstream.
func peerLoad(a *Aggregator, host, id string, now time.Time) balance.PeerLoad {
	return a.PeerLoads(host, []string{id}, now)[0]
}

// A host receives the sum of the other hosts' latest load statistics, without its own.
// Those of hosts that stopped sending them, and upstreams that are no longer in the
// catalogue, must be dropped: otherwise hosts would avoid an idle upstream.
func TestPeerLoadsSumLatestLoadStatsOfOtherHosts(t *testing.T) {
	snapshot := catalogue.NewSnapshot(map[string]*catalogue.Upstream{"a": {ID: "a", Service: "s", Slots: 3}, "b": {ID: "b", Service: "s", Slots: 3}})
	now := time.Unix(1000, 0)
	a := New(func() *catalogue.Snapshot { return snapshot }, now)
	a.Record("h1", []balance.LoadStats{{ID: "a", InFlight: 9}}, now)
	a.Record("h1", []balance.LoadStats{{ID: "a", InFlight: 2}, {ID: "b", InFlight: 1}}, now)
	a.Record("h2", []balance.LoadStats{{ID: "a", InFlight: 3}}, now)
	for _, c := range []struct {
		host, id string
		want     int
	}{{"h1", "a", 3}, {"h2", "a", 2}, {"h3", "a", 5}, {"h2", "b", 1}, {"h1", "b", 0}} {
		if got := peerLoad(a, c.host, c.id, now).InFlight; got != c.want {
			t.Errorf("%s receives %d in flight from other hosts at %s, want %d", c.host, got, c.id, c.want)
		}
	}
	later := now.Add(loadStatsTTL + time.Millisecond)
	a.Record("h2", []balance.LoadStats{{ID: "a", InFlight: 4}}, later)
	if got := peerLoad(a, "h3", "a", later).InFlight; got != 4 {
		t.Errorf("%d in flight at a after the load statistics of h1 expired, want h2's 4", got)
	}
	snapshot = catalogue.NewSnapshot(map[string]*catalogue.Upstream{"b": snapshot.ByID["b"]})
	if got := peerLoad(a, "h3", "a", later.Add(workTimeInterval)); got.ID != "" {
		t.Errorf("received the load on an upstream that is no longer in the catalogue: %+v", got)
	}
}

// Twenty hosts each receive one response from a slow and one from a fast upstream.
// Their load statistics together must yield different work times.
func TestWorkTimesCombineLoadStatsOfHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAggregator(now, &catalogue.Upstream{ID: "slow", Service: "s", Slots: 3}, &catalogue.Upstream{ID: "fast", Service: "s", Slots: 3})
	for i := range 20 {
		now = now.Add(200 * time.Millisecond)
		a.Record(string(rune('a'+i)), []balance.LoadStats{{ID: "slow", Responses: 1, TotalLatency: 500 * time.Millisecond},
			{ID: "fast", Responses: 1, TotalLatency: 200 * time.Millisecond}}, now)
	}
	slow, fast := peerLoad(a, "x", "slow", now).WorkTime, peerLoad(a, "x", "fast", now).WorkTime
	if slow < 3*fast/2 {
		t.Errorf("work time %v at the slow upstream and %v at the fast one", slow, fast)
	}
}

// Guards against an upstream that gets long requests looking slow, and against requests of hosts of
// earlier builds, which state no work, counting other than as mean ones.
func TestWorkTimesDoNotDependOnTheMix(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAggregator(now, &catalogue.Upstream{ID: "short", Service: "s", Slots: 6}, &catalogue.Upstream{ID: "long", Service: "s", Slots: 6})
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		a.Record("h", []balance.LoadStats{{ID: "short", InFlight: 1, WorkInFlight: 160 * time.Millisecond, Responses: 2, TotalLatency: 320 * time.Millisecond, AnsweredWork: 320 * time.Millisecond},
			{ID: "long", InFlight: 2, WorkInFlight: 1860 * time.Millisecond, Responses: 1, TotalLatency: 930 * time.Millisecond, AnsweredWork: 930 * time.Millisecond}}, now)
		a.Record("earlier", []balance.LoadStats{{ID: "short", InFlight: 3}}, now)
		a.PeerLoads("x", nil, now)
	}
	short, long := peerLoad(a, "x", "short", now), peerLoad(a, "x", "long", now)
	if r := short.WorkTime.Seconds() / long.WorkTime.Seconds(); r < 0.95 || r > 1.05 {
		t.Errorf("work times %v and %v", short.WorkTime, long.WorkTime)
	}
	mean := (320 + 930) * time.Millisecond / 3
	if want := 160*time.Millisecond + 3*mean; (short.WorkInFlight-want).Abs() > 10*time.Millisecond || long.WorkInFlight != 1860*time.Millisecond {
		t.Errorf("expected work in flight: %v and %v, want %v and 1.86s", short.WorkInFlight, long.WorkInFlight, want)
	}
	if r := a.estimator.Median(a.upstreams().ForService("s"), now) / mean.Seconds(); r < 0.95 || r > 1.05 {
		t.Errorf("median work time is %v of the mean expected work", r)
	}
}
