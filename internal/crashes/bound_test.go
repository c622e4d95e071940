package crashes

import (
	"fmt"
	"testing"
	"time"
)

// Crashes with a flood of different fingerprints must neither grow the tracker without
// bound nor evict a refused fingerprint.
func TestTrackerBoundsItsFingerprints(t *testing.T) {
	tracker, now := NewTracker(nil), time.Now()
	for i := range RefusalThreshold {
		tracker.RecordCrash(Crash{"fatal", fmt.Sprint("s", i), now})
	}
	for i := range maxFingerprints + 500 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		fp := Fingerprint(fmt.Sprint("c", i))
		tracker.RecordCrash(Crash{fp, "s", at})
	}
	if known, _ := tracker.Counts(); known != maxFingerprints {
		t.Errorf("%d fingerprints kept, want %d", known, maxFingerprints)
	}
	if tracker.RefusedFor("fatal", now) == 0 {
		t.Error("the refused fingerprint was evicted")
	}
	if len(tracker.crashes["c0"]) > 0 || len(tracker.crashes[Fingerprint(fmt.Sprint("c", maxFingerprints+499))]) == 0 {
		t.Error("the oldest fingerprint was not the one evicted")
	}
	if n := len(tracker.pending); n > maxFingerprints+RefusalThreshold {
		t.Errorf("%d changes pending", n)
	}
}
