package fleet

import (
	"fmt"
	"testing"
	"time"
)

// recordCall records a call of host i of the data centre and returns the address of the
// relay to which it is redirected.
func recordCall(f *Fleet, dc string, i int, candidate bool, now time.Time) string {
	h := Host{Name: fmt.Sprintf("%s-%02d", dc, i), DataCentre: dc, PeerAddr: fmt.Sprintf("%s:%d", dc, i), Candidate: candidate}
	f.RecordCall(h, now)
	return f.RelayFor(h, now)
}

// Twelve hosts of a data centre follow the planner. The first candidate among them
// becomes the relay, and the others are redirected to it. The planner's own data
// centre has no relay while it is small.
func TestRelayInLargeDataCentre(t *testing.T) {
	f, now := New("home"), time.Unix(1000, 0)
	for i := range minLocalHostsForRelay - 1 {
		if to := recordCall(f, "home", i, true, now); to != "" {
			t.Errorf("host of the planner's small data centre is redirected to %s", to)
		}
	}
	for i := range 12 {
		recordCall(f, "large", i, i >= 3, now)
	}
	for i := range 12 {
		want := "large:3"
		if i == 3 {
			want = ""
		}
		if to := recordCall(f, "large", i, i >= 3, now); to != want {
			t.Errorf("host %d is redirected to %q, want %q", i, to, want)
		}
	}
}

// Traffic between data centres is charged: even if only three hosts of another data
// centre follow the planner, one of them must become the relay of the other two.
func TestRelayInSmallRemoteDataCentre(t *testing.T) {
	f, now := New("home"), time.Unix(1000, 0)
	for i := range 3 {
		recordCall(f, "away", i, true, now)
	}
	for i, want := range []string{"", "away:0", "away:0"} {
		if to := recordCall(f, "away", i, true, now); to != want {
			t.Errorf("host %d is redirected to %q, want %q", i, to, want)
		}
	}
}

// The relay crashes. Its followers call the planner again, which must redirect them to
// another candidate. A host that is not a candidate must never become the relay.
func TestCrashedRelayIsReplaced(t *testing.T) {
	f, now := New("home"), time.Unix(1000, 0)
	for i := range 12 {
		recordCall(f, "dc", i, i == 3 || i == 7, now)
	}
	later := now.Add(livenessTimeout + time.Second)
	got := ""
	for i := range 12 {
		if i != 3 {
			got = recordCall(f, "dc", i, i == 7, later)
		}
	}
	if got != "dc:7" {
		t.Errorf("redirected to %q, want the other candidate", got)
	}
	noCandidates := New("home")
	for i := range 12 {
		if to := recordCall(noCandidates, "dc", i, false, now); to != "" {
			t.Errorf("redirected to %s, which is not a candidate", to)
		}
	}
}

// Hosts divide shared limits by the fleet's size. It must include hosts behind a relay
// and, for a while, hosts that stopped calling: they may be partitioned from the planner
// and still serve. A host that follows the planner must count at least as many hosts
// as the planner.
func TestSizeCountsSilentAndIndirectHosts(t *testing.T) {
	f, now := New("home"), time.Unix(1000, 0)
	if f.Size(now) != 1 {
		t.Errorf("%d hosts without any call, want 1", f.Size(now))
	}
	f.RecordCall(Host{Name: "a"}, now)
	f.RecordCall(Host{Name: "relay", Followers: 30}, now)
	if got := f.Size(now.Add(sizeRetention / 2)); got != 33 {
		t.Errorf("%d hosts, want 33: this one, two callers and 30 followers of one of them", got)
	}
	if got := f.Size(now.Add(2 * sizeRetention)); got != 1 {
		t.Errorf("%d hosts long after the last call, want 1", got)
	}
	f.SetPlannerFleetSize(91)
	if got := f.Size(now); got != 91 {
		t.Errorf("%d hosts, want the planner's count of 91", got)
	}
}

// A planner that is not a candidate steps down when a candidate calls it. It must not
// do so for a candidate that has stopped calling.
func TestHasLiveCandidate(t *testing.T) {
	f, now := New("home"), time.Unix(1000, 0)
	f.RecordCall(Host{Name: "weak"}, now)
	if f.HasLiveCandidate(now) {
		t.Error("a host that is not a candidate counts as one")
	}
	f.RecordCall(Host{Name: "strong", Candidate: true}, now)
	if !f.HasLiveCandidate(now) || f.HasLiveCandidate(now.Add(livenessTimeout+time.Second)) {
		t.Error("a candidate must count exactly while it calls")
	}
}
