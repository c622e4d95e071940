package burn

import (
	"testing"
	"time"
)

// Requests older than a window fall out of it; the hour keeps them.
func TestWindowExcludesOlderRequests(t *testing.T) {
	r := NewRecorder(16 * time.Millisecond)
	t0 := time.Unix(1_000_000, 0)
	r.Record("s", true, time.Millisecond, t0)
	r.Record("s", false, 20*time.Millisecond, t0.Add(6*time.Minute))
	got := r.Snapshot(t0.Add(6 * time.Minute))
	if len(got) != 2 {
		t.Fatalf("snapshot %+v", got)
	}
	five, hour := got[0], got[1]
	if five.Total != 1 || five.Bad != 0 || five.Slow != 1 {
		t.Fatalf("5m window %+v: want only the later, slow request", five)
	}
	if hour.Total != 2 || hour.Bad != 1 {
		t.Fatalf("1h window %+v: want both", hour)
	}
	if rate := Rate(1, 1000, 0.999); rate < 0.999 || rate > 1.001 {
		t.Fatalf("rate %v, want 1", rate)
	}
}

// One refused request of two is no burn of 500 times the budget: too few were
// seen to tell.
func TestMinRequests(t *testing.T) {
	for objective, want := range map[float64]int64{0.999: 1000, 0.99: 100, 0.5: 2, 1: 1} {
		if got := MinRequests(objective); got != want {
			t.Errorf("objective %v needs %d requests, want %d", objective, got, want)
		}
	}
}
