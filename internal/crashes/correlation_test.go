package crashes

import (
	"fmt"
	"testing"
	"time"
)

// A network partition of a data centre breaks a host's sends to many servers at one moment, and
// the servers' entries in the log service expire, as they cannot send heartbeats. The sends
// have three fingerprints, in equal parts. No crash may be counted or written.
func TestNetworkPartitionIsNotCountedAsCrashes(t *testing.T) {
	tracker := NewTracker(nil)
	for i := range 30 {
		crash := Crash{testFingerprint(i % 3), fmt.Sprint("s", i), testTime.Add(time.Duration(i) * 10 * time.Millisecond)}
		if i%2 == 0 {
			tracker.RecordBrokenSend(crash)
		}
		tracker.RecordCrash(crash)
	}
	if changes := tracker.FilterPending(); len(changes) > 0 || tracker.HasCrashes() {
		t.Errorf("%d changes to write, crashes left: %v", len(changes), tracker.HasCrashes())
	}
}

// A fatal request crashes the servers that run it one by one while unrelated sends break
// at a few other servers a second. It must be refused after the third crash, and also if
// it crashes four servers at once and no other send breaks.
func TestFatalRequestIsRefusedDespiteOtherBrokenSends(t *testing.T) {
	tracker := NewTracker(nil)
	for i := range RefusalThreshold {
		at := testTime.Add(time.Duration(i) * 2 * time.Second)
		for n := range minCorrelatedServers - 2 {
			tracker.RecordBrokenSend(Crash{testFingerprint(9), fmt.Sprint("other", n), at})
		}
		tracker.RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), at})
		tracker.FilterPending()
	}
	if tracker.RefusedFor(testFingerprint(1), testTime) == 0 {
		t.Error("not refused after three crashes one by one")
	}
	tracker = NewTracker(nil)
	for i := range minCorrelatedServers {
		tracker.RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
	}
	if tracker.FilterPending(); tracker.RefusedFor(testFingerprint(1), testTime) == 0 {
		t.Error("not refused after crashes at one moment, all while running requests with its fingerprint")
	}
}

// A fingerprint may be refused although its requests are harmless, if the servers that ran
// them crashed for another, common reason. Only the host that may send trial requests sends
// one, some seconds later. While the trials crash servers the interval between them grows;
// after a success no host refuses the fingerprint.
func TestRefusedFingerprintGetsTrialRequests(t *testing.T) {
	f := newTestFleet(t, 2)
	f.hosts[0].AllowTrialsIf(func() bool { return true })
	for i := range RefusalThreshold {
		f.hosts[1].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
	}
	f.writePending(1)
	trials, last := 0, testTime
	for now := testTime; now.Before(testTime.Add(time.Hour)); now = now.Add(100 * time.Millisecond) {
		if f.hosts[1].TakeTrial(testFingerprint(1), now) {
			t.Fatal("another host sends trials too")
		}
		if !f.hosts[0].TakeTrial(testFingerprint(1), now) {
			continue
		}
		if trials++; now.Sub(last) < firstTrialDelay {
			t.Errorf("trial %v after the previous one", now.Sub(last))
		}
		last = now
		f.hosts[0].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("again", trials), now})
		f.writePending(0)
	}
	if trials < 5 || trials > 10 {
		t.Errorf("%d trials in an hour", trials)
	}
	f.hosts[0].RecordSuccess(testFingerprint(1))
	f.writePending(0)
	if f.hosts[0].RefusedFor(testFingerprint(1), last)+f.hosts[1].RefusedFor(testFingerprint(1), last) > 0 {
		t.Error("still refused after a success")
	}
}
