package burn

import (
	"testing"
	"time"
)

// A request older than the short window must no longer count in it, but still in the
// long one.
func TestWindowExcludesOlderRequests(t *testing.T) {
	r := NewRecorder(16 * time.Millisecond)
	start := time.Unix(1_000_000, 0)
	r.Record("s", true, time.Millisecond, start)
	r.Record("s", false, 20*time.Millisecond, start.Add(6*time.Minute))
	got := r.Snapshot(start.Add(6 * time.Minute))
	if len(got) != 2 {
		t.Fatalf("snapshot %+v", got)
	}
	short, long := got[0], got[1]
	if short.Total != 1 || short.Bad != 0 || short.Slow != 1 {
		t.Fatalf("5m window %+v, want only the second, slow request", short)
	}
	if long.Total != 2 || long.Bad != 1 {
		t.Fatalf("1h window %+v, want both requests", long)
	}
	if rate := Rate(1, 1000, 0.999); rate < 0.999 || rate > 1.001 {
		t.Fatalf("rate %v, want 1", rate)
	}
}

// One refused request of two must not be reported as a burn rate of 500: with so few
// requests the rate means nothing.
func TestMinRequests(t *testing.T) {
	for objective, want := range map[float64]int64{0.999: 1000, 0.99: 100, 0.5: 2, 1: 1} {
		if got := MinRequests(objective); got != want {
			t.Errorf("objective %v: MinRequests is %d, want %d", objective, got, want)
		}
	}
}
