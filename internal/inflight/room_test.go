package inflight

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
)

// The room must not include upstreams of other data centres and services or those that are
// leaving, and must count a slow upstream by its speed.
func TestRoomCountsSlotsBySpeed(t *testing.T) {
	upstream := func(id, service, dataCentre string, leaving bool) *catalogue.Upstream {
		return &catalogue.Upstream{ID: id, Service: service, DataCentre: dataCentre, Slots: 6, Leaving: leaving}
	}
	now := time.Unix(1e9, 0)
	a := newAggregator(now, upstream("slow", "s", "dc", false), upstream("a", "s", "dc", false), upstream("b", "s", "dc", false),
		upstream("leaving", "s", "dc", true), upstream("remote", "s", "other", false), upstream("other", "t", "dc", false))
	if room := a.Room("s", "dc", now); room.Slots != 18 || room.Capacity < 17.99 || room.Capacity > 18.01 {
		t.Errorf("room without measurements %+v, want 18 slots of speed 1", room)
	}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		a.Record("h", []balance.LoadStats{{ID: "slow", Responses: 2, TotalLatency: 400 * time.Millisecond}, {ID: "a", Responses: 2, TotalLatency: 200 * time.Millisecond},
			{ID: "b", Responses: 2, TotalLatency: 200 * time.Millisecond}}, now)
	}
	if room := a.Room("s", "dc", now); room.Slots != 18 || room.Capacity < 15 || room.Capacity > 15.5 {
		t.Errorf("room %+v, want 18 slots with a capacity of 15", room)
	}
}
