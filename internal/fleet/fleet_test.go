package fleet

import (
	"fmt"
	"testing"
	"time"
)

func heartbeat(f *Fleet, dc string, i int, eager bool, now time.Time) string {
	h := Host{Name: fmt.Sprintf("%s-%02d", dc, i), DataCentre: dc, PeerAddr: fmt.Sprintf("%s:%d", dc, i), Candidate: eager}
	f.RecordHeartbeat(h, now)
	return f.RelayFor(h, now)
}

// Twelve hosts of a data centre follow the planner. The first strong one
// relays, the others are sent to it; a small data centre needs none if it is
// the planner's own.
func TestRelayInLargeDataCentre(t *testing.T) {
	f, now := New("home"), time.Unix(1000, 0)
	for i := range minLocalHostsForRelay - 1 {
		if to := heartbeat(f, "home", i, true, now); to != "" {
			t.Errorf("the planner's own small data centre's host is sent to %s", to)
		}
	}
	for i := range 12 {
		heartbeat(f, "large", i, i >= 3, now)
	}
	for i := range 12 {
		want := "large:3"
		if i == 3 {
			want = ""
		}
		if to := heartbeat(f, "large", i, i >= 3, now); to != want {
			t.Errorf("host %d is sent to %q, want %q", i, to, want)
		}
	}
}

// Bytes between data centres are dear: where only three hosts of another data
// centre follow the planner, two of them follow the third.
func TestRelayInSmallRemoteDataCentre(t *testing.T) {
	f, now := New("home"), time.Unix(1000, 0)
	for i := range 3 {
		heartbeat(f, "away", i, true, now)
	}
	for i, want := range []string{"", "away:0", "away:0"} {
		if to := heartbeat(f, "away", i, true, now); to != want {
			t.Errorf("host %d is sent to %q, want %q", i, to, want)
		}
	}
}

// The relay dies. Its hosts call the planner again and are sent to another
// strong host; a weak one never relays.
func TestDeadRelayIsReplaced(t *testing.T) {
	f, now := New("home"), time.Unix(1000, 0)
	for i := range 12 {
		heartbeat(f, "dc", i, i == 3 || i == 7, now)
	}
	later := now.Add(livenessTimeout + time.Second)
	got := ""
	for i := range 12 {
		if i != 3 {
			got = heartbeat(f, "dc", i, i == 7, later)
		}
	}
	if got != "dc:7" {
		t.Errorf("sent to %q, want the other strong host", got)
	}
	weak := New("home")
	for i := range 12 {
		if to := heartbeat(weak, "dc", i, false, now); to != "" {
			t.Errorf("sent to the weak host %s", to)
		}
	}
}

// What is shared by all hosts is divided by their number, also by hosts that
// know it from others only, and for a while by those that went silent: they
// may go on serving behind a cut.
func TestSizeCountsSilentAndIndirectHosts(t *testing.T) {
	f, now := New("home"), time.Unix(1000, 0)
	if f.Size(now) != 1 {
		t.Errorf("alone: %d", f.Size(now))
	}
	f.RecordHeartbeat(Host{Name: "a"}, now)
	f.RecordHeartbeat(Host{Name: "relay", Followers: 30}, now)
	if got := f.Size(now.Add(sizeRetention / 2)); got != 33 {
		t.Errorf("%d hosts, want this one, two callers and thirty behind one of them", got)
	}
	if got := f.Size(now.Add(2 * sizeRetention)); got != 1 {
		t.Errorf("%d hosts long after the last call", got)
	}
	f.SetPlannerSize(91)
	if got := f.Size(now); got != 91 {
		t.Errorf("%d hosts, the planner counts 91", got)
	}
}

// A weak planner gives way to a strong host that calls it, not to one that
// has ended.
func TestHasLiveCandidate(t *testing.T) {
	f, now := New("home"), time.Unix(1000, 0)
	f.RecordHeartbeat(Host{Name: "weak"}, now)
	if f.HasLiveCandidate(now) {
		t.Error("a weak host counts as strong")
	}
	f.RecordHeartbeat(Host{Name: "strong", Candidate: true}, now)
	if !f.HasLiveCandidate(now) || f.HasLiveCandidate(now.Add(livenessTimeout+time.Second)) {
		t.Error("a strong host must count while it calls")
	}
}
