package entryhost

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/internal/standin/memstore"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
)

// testDrainTimeout is from when on no request may reach an upstream that has reported that it is draining.
const testDrainTimeout = 2 * time.Second

// lateWrite is an upstream's entry that the log service carries out late.
type lateWrite struct {
	u    *rangeowner.Upstream
	data []byte
}

// loseHeartbeat has an upstream write an entry that gets no response, and returns it.
func (f *testFleet) loseHeartbeat(service string, u *rangeowner.Upstream) lateWrite {
	return lateWrite{u, f.nextEntry(u, catalogue.Upstream{Service: service, DataCentre: "dc", Slots: 3})}
}

// carryOut carries the write out.
func (f *testFleet) carryOut(w lateWrite) {
	f.log.PutLate(metastore.StreamUpstreams, w.u.ID, w.data)
}

// arrivalsDuring sends requests to all hosts for a time and returns how many reached the upstream.
func (f *testFleet) arrivalsDuring(route string, u *rangeowner.Upstream, d time.Duration) int {
	from := time.Now()
	for n := 0; time.Since(from) < d; n++ {
		f.hosts[n%len(f.hosts)].call("GET", route, fmt.Sprint("r-", time.Now().UnixNano()), n*4099%65536)
		f.sleep(10 * time.Millisecond)
	}
	return len(u.Arrivals(from, time.Now()))
}

// busiest returns the upstream that most requests of the route have reached.
func (f *testFleet) busiest(route string, ups []*rangeowner.Upstream) *rangeowner.Upstream {
	f.arrivalsDuring(route, ups[0], time.Second)
	return slices.MaxFunc(ups, func(a, b *rangeowner.Upstream) int { return cmp.Compare(len(a.Runs()), len(b.Runs())) })
}

// Guards against requests at a draining upstream that a late heartbeat of its own makes ready again.
func TestLateHeartbeatOfDrainingUpstream(t *testing.T) {
	for _, c := range []struct{ service, route string }{{"sheets", "read.example"}, {"plain", unkeyedRoute}} {
		t.Run(c.service, func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 3, 0)
				var ups []*rangeowner.Upstream
				for i := range 3 {
					ups = append(ups, f.addServiceUpstream(c.service, fmt.Sprint(c.service, i)))
				}
				f.waitPathServed(c.route, "/x", startupTimeout)
				leaving := f.busiest(c.route, ups)
				late := f.loseHeartbeat(c.service, leaving)
				time.Sleep(time.Second)
				f.registerAs(c.service, leaving, true)
				time.Sleep(testDrainTimeout)
				f.carryOut(late)
				if n := f.arrivalsDuring(c.route, leaving, 3*time.Second); n > 0 {
					t.Errorf("%d requests reached the upstream later than %v after it reported that it was draining", n, testDrainTimeout)
				}
			})
		})
	}
}

// Guards against requests at an upstream that left without a report and whose last heartbeat is carried out
// after its entry was removed, and against upstreams that stay out after a time without an entry.
func TestEntryOfRemovedUpstreamIsConfirmed(t *testing.T) {
	const returnTime = 2 * time.Second
	for _, c := range []struct {
		name    string
		leaving bool
		served  bool
	}{
		{"leaving", true, false},
		{"ready", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 3, 0)
				var ups []*rangeowner.Upstream
				for i := range 3 {
					ups = append(ups, f.addServiceUpstream("plain", fmt.Sprint("plain", i)))
				}
				f.waitPathServed(unkeyedRoute, "/x", startupTimeout)
				removed := f.busiest(unkeyedRoute, ups)
				late := f.loseHeartbeat("plain", removed)
				if c.leaving {
					removed.SetDraining()
				}
				f.log.Put(metastore.StreamUpstreams, removed.ID, nil)
				time.Sleep(testDrainTimeout)
				f.carryOut(late)
				time.Sleep(returnTime)
				if n := f.arrivalsDuring(unkeyedRoute, removed, 2*time.Second); (n > 0) != c.served {
					t.Errorf("%d requests reached the upstream %v after its entry was back", n, returnTime)
				}
			})
		})
	}
}

func TestConfirmationOfReturningUpstream(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, c := range []struct {
		answer   upstream.Health
		outdated bool
		after    time.Duration
		want     bool
	}{
		{upstream.Healthy, true, 0, true},
		{upstream.Unhealthy, false, time.Minute, false},
		{upstream.NoResponse, false, time.Minute, false},
		{upstream.Unsupported, false, 0, true},
		{upstream.Unsupported, true, time.Minute, false},
		{upstream.Busy, false, maxBusyTime / 2, false},
		{upstream.Busy, false, maxBusyTime, true},
		{upstream.Busy, true, time.Minute, false},
	} {
		check := confirmation{outdated: c.outdated, since: begin}
		if got := check.confirms(c.answer, begin.Add(c.after)); got != c.want {
			t.Errorf("answer %v, outdated %v, after %v: %v", c.answer, c.outdated, c.after, got)
		}
	}
}

// Guards against entries that are ordered by the log instead of by their writer, and against sequence
// numbers that are compared beyond one incarnation.
func TestEntriesAreOrderedByTheirUpstream(t *testing.T) {
	const first, second = "u@1", "u@2"
	ready := func(id string, sequence int64) func(*upstreamRegistry) {
		return func(r *upstreamRegistry) {
			r.register(&catalogue.Upstream{ID: id, Service: "s", Sequence: sequence}, nil)
		}
	}
	draining := func(id string, sequence int64) func(*upstreamRegistry) {
		return func(r *upstreamRegistry) {
			r.register(&catalogue.Upstream{ID: id, Service: "s", Sequence: sequence, Leaving: true}, nil)
		}
	}
	now := time.Unix(1000, 0)
	removed := func(r *upstreamRegistry) { r.markMissing("u", now, now) }
	removedInOutage := func(r *upstreamRegistry) { r.markMissing("u", now.Add(time.Second), now) }
	unusable := func(r *upstreamRegistry) { r.markUnreadable("u", now) }
	for _, c := range []struct {
		name    string
		records []func(*upstreamRegistry)
		id      string
		want    string
	}{
		{"older entry after the report", []func(*upstreamRegistry){ready(first, 1), draining(first, 6), ready(first, 2)}, first, "leaving"},
		{"older entry after the removal", []func(*upstreamRegistry){ready(first, 1), draining(first, 6), removed, ready(first, 2)}, first, "leaving"},
		{"next incarnation counts anew", []func(*upstreamRegistry){ready(first, 9), draining(first, 10), ready(second, 1)}, second, "ready"},
		{"late entry of the previous incarnation", []func(*upstreamRegistry){draining(first, 10), ready(second, 1), ready(first, 8)}, first, "unknown"},
		{"another writer's unusable entry, then its own", []func(*upstreamRegistry){ready(first, 4), unusable, ready(first, 5)}, first, "ready"},
		{"another writer's unusable entry, then an older one of its own", []func(*upstreamRegistry){ready(first, 4), unusable, ready(first, 3)}, first, "ready"},
		{"unusable entry after the report", []func(*upstreamRegistry){draining(first, 4), unusable, ready(first, 3)}, first, "leaving"},
		{"unusable entry, removal, older entry", []func(*upstreamRegistry){ready(first, 4), unusable, removed, ready(first, 3)}, first, "leaving"},
		{"unusable entry, removal during an outage, newer entry", []func(*upstreamRegistry){ready(first, 4), unusable, removedInOutage, ready(first, 5)}, first, "leaving"},
		{"removal during an outage, unusable entry, newer entry", []func(*upstreamRegistry){ready(first, 4), removedInOutage, unusable, ready(first, 5)}, first, "leaving"},
		{"older entry while its entry may have expired", []func(*upstreamRegistry){ready(first, 4), removedInOutage, ready(first, 3),
			func(r *upstreamRegistry) { r.expireSuspects(false, now.Add(time.Minute)) }}, first, "ready"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newUpstreamRegistry(zap.NewNop())
			for _, apply := range c.records {
				apply(r)
			}
			wantState(t, r, c.id, c.want)
		})
	}
}

// Guards against a host that starts, or was cut off, and gets from the planner what the log service has carried out
// late: an upstream's older entry, or an older desired state.
func TestFollowersGetTheNewestWrites(t *testing.T) {
	c := newController(zap.NewNop(), memstore.New(), decoder{}, nil, view.NewPublisher(), planner.Options{Host: "h"}, testEvacuationTimeout)
	entry := func(offset, sequence int64, leaving bool) metastore.Record {
		return metastore.Record{Key: "u1", Offset: offset, Value: fmt.Appendf(nil, `{"ID":"u1","Service":"s","Sequence":%d,"Leaving":%v}`, sequence, leaving)}
	}
	state := func(offset int64, version string) metastore.Record {
		return metastore.Record{Key: "state", Offset: offset, Value: []byte(version)}
	}
	at := func(offset int64) metastore.Position { return metastore.Position{Offset: offset} }
	c.apply(relay.Batch{Stream: metastore.StreamUpstreams, Reset: true, Records: []metastore.Record{entry(0, 1, false)}, Next: at(1)})
	c.apply(relay.Batch{Stream: metastore.StreamOperators, Reset: true, Records: []metastore.Record{state(0, "4")}, Next: at(1)})
	for i, r := range []metastore.Record{entry(1, 6, true), entry(2, 2, false)} {
		c.apply(relay.Batch{Stream: metastore.StreamUpstreams, Records: []metastore.Record{r}, Next: at(int64(i) + 2)})
	}
	for i, r := range []metastore.Record{state(1, "6"), state(2, "5")} {
		c.apply(relay.Batch{Stream: metastore.StreamOperators, Records: []metastore.Record{r}, Next: at(int64(i) + 2)})
	}
	for name, from := range map[string]int64{"started": -1, "was cut off": 1} {
		t.Run(name, func(t *testing.T) {
			views := view.NewPublisher()
			f := newController(zap.NewNop(), memstore.New(), decoder{}, nil, views, planner.Options{Host: "f"}, testEvacuationTimeout)
			if from > 0 {
				f.apply(relay.Batch{Stream: metastore.StreamUpstreams, Reset: true, Records: []metastore.Record{entry(0, 1, false)}, Next: at(1)})
				f.apply(relay.Batch{Stream: metastore.StreamOperators, Reset: true, Records: []metastore.Record{state(0, "4")}, Next: at(1)})
			}
			positions := map[metastore.Stream]metastore.Position{metastore.StreamUpstreams: at(from), metastore.StreamOperators: at(from)}
			for _, b := range c.replica.Fetch(t.Context(), positions, time.Second) {
				f.apply(b)
			}
			v := views.Load()
			if u := v.Upstreams.ByID["u1"]; u == nil || !u.Leaving {
				t.Errorf("the upstream is %+v, want it leaving", u)
			}
			if v.Desired == nil || v.Desired.Version != 6 {
				t.Errorf("the desired state is %+v, want version 6", v.Desired)
			}
		})
	}
}
