package crashes

import (
	"fmt"
	"testing"
	"time"
)

// A data centre's links are reset: what a host has at many servers breaks off at
// one moment, and the servers' entries lapse, as they cannot heartbeat. One page
// is read by a third of all callers. Nothing is counted for it, nor told.
func TestNetworkCutIsNotCountedAsCrashes(t *testing.T) {
	l := NewTracker(nil)
	for i := range 30 {
		e := Crash{testFingerprint(i % 3), fmt.Sprint("s", i), testTime.Add(time.Duration(i) * 10 * time.Millisecond)}
		if i%2 == 0 {
			l.RecordBrokenSend(e)
		}
		l.RecordCrash(e)
	}
	if changes := l.Pending(); len(changes) > 0 || l.HasCrashes() {
		t.Errorf("%d ends are told, any left: %v", len(changes), l.HasCrashes())
	}
}

// One request ends its servers, one by one, while answers of others are lost by
// chance at a few other servers a second. It is refused after the third end all
// the same, and so it is where it ends four servers at once and nothing else
// breaks off.
func TestFatalRequestIsRefusedDespiteOtherBrokenSends(t *testing.T) {
	l := NewTracker(nil)
	for i := range Limit {
		at := testTime.Add(time.Duration(i) * 2 * time.Second)
		for n := range minCorrelatedServers - 2 {
			l.RecordBrokenSend(Crash{testFingerprint(9), fmt.Sprint("other", n), at})
		}
		l.RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), at})
		l.Pending()
	}
	if l.RefusedFor(testFingerprint(1), testTime) == 0 {
		t.Error("not refused after three ends, one by one")
	}
	l = NewTracker(nil)
	for i := range minCorrelatedServers {
		l.RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
	}
	if l.Pending(); l.RefusedFor(testFingerprint(1), testTime) == 0 {
		t.Error("not refused after ends at once that are all its own")
	}
}

// A content is refused though its servers would answer it: they ended together.
// The host that tries sends one request of it some seconds later, the others
// none. While it still ends its servers it is tried ever more seldom; once it is
// answered it is refused nowhere.
func TestRefusedFingerprintGetsTrialRequests(t *testing.T) {
	f := newTestFleet(t, 2)
	f.hosts[0].AllowTrialsIf(func() bool { return true })
	for i := range Limit {
		f.hosts[1].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
	}
	f.writePending(1)
	tries, last := 0, testTime
	for now := testTime; now.Before(testTime.Add(time.Hour)); now = now.Add(100 * time.Millisecond) {
		if f.hosts[1].AllowTrial(testFingerprint(1), now) {
			t.Fatal("another host tries too")
		}
		if !f.hosts[0].AllowTrial(testFingerprint(1), now) {
			continue
		}
		if tries++; now.Sub(last) < firstTrialDelay {
			t.Errorf("tried %v after the try before", now.Sub(last))
		}
		last = now
		f.hosts[0].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("again", tries), now})
		f.writePending(0)
	}
	if tries < 5 || tries > 10 {
		t.Errorf("%d tries in an hour", tries)
	}
	f.hosts[0].RecordSuccess(testFingerprint(1))
	f.writePending(0)
	if f.hosts[0].RefusedFor(testFingerprint(1), last)+f.hosts[1].RefusedFor(testFingerprint(1), last) > 0 {
		t.Error("still refused after an answer")
	}
}
