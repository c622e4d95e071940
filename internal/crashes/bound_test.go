package crashes

import (
	"fmt"
	"testing"
	"time"
)

// A flood of contents must not grow the ledger without end, nor push out those that
// are refused.
func TestTrackerBoundsItsFingerprints(t *testing.T) {
	l, now := NewTracker(nil), time.Now()
	for i := range Limit {
		l.RecordCrash(Crash{"fatal", fmt.Sprint("s", i), now})
	}
	for i := range maxFingerprints + 500 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		c := Fingerprint(fmt.Sprint("c", i))
		l.RecordCrash(Crash{c, "s", at})
	}
	if known, _ := l.Counts(); known != maxFingerprints {
		t.Errorf("%d contents kept, want %d", known, maxFingerprints)
	}
	if l.RefusedFor("fatal", now) == 0 {
		t.Error("the refused content was dropped")
	}
	if len(l.crashes["c0"]) > 0 || len(l.crashes[Fingerprint(fmt.Sprint("c", maxFingerprints+499))]) == 0 {
		t.Error("not the oldest was dropped")
	}
	if n := len(l.pending); n > maxFingerprints+Limit {
		t.Errorf("%d changes wait to be written", n)
	}
}
