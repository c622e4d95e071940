package reachability

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// play sends requests to the 26 upstreams of a data centre, one each 50 ms, and returns how many
// were sent and got no response. They respond after latency unless cutFrom and cutUntil (ms)
// enclose their start or end, and then end after the timeout of 1,200 ms.
func play(t *Tracker, latencyMs, cutFrom, cutUntil, untilMs int) (sent, lost int) {
	type end struct {
		s     *Send
		heard bool
	}
	ends := map[int][]end{}
	for ms := 0; ms < untilMs; ms += 10 {
		for _, e := range ends[ms] {
			e.s.End(e.heard, at(ms))
		}
		if ms%50 != 0 || !t.Reachable("b", at(ms)) {
			continue
		}
		sent++
		s := t.Start("b", fmt.Sprint("u", ms/50%26), 0, at(ms))
		if ms+latencyMs > cutFrom && ms < cutUntil {
			lost++
			ends[ms+1200] = append(ends[ms+1200], end{s, false})
		} else {
			ends[ms+latencyMs] = append(ends[ms+latencyMs], end{s, true})
		}
	}
	return sent, lost
}

// Guards against the loss of 120 requests to a data centre that is cut off for 6 s: it must be found
// unreachable within a second, and reachable within 0.8 s of the end of the partition.
func TestFewRequestsAreSentToADataCentreThatIsCutOff(t *testing.T) {
	tr := NewTracker()
	var changes []string
	tr.OnChange = func(dc string, reachable bool, _ time.Duration) {
		changes = append(changes, fmt.Sprint(dc, " ", reachable))
	}
	sent, lost := play(tr, 250, 2000, 8000, 10000)
	if lost > 35 {
		t.Errorf("%d requests were lost in a partition of 6 s, want at most 35", lost)
	}
	if sent < 40+24+lost { // before the partition, and after the 0.8 s
		t.Errorf("%d requests were sent, %d of them lost: it counts as unreachable for too long", sent, lost)
	}
	if fmt.Sprint(changes) != "[b false b true]" {
		t.Errorf("changes %v", changes)
	}
}

// A data centre whose upstreams all respond late, or of which one upstream is silent, must stay
// reachable: refusing its requests would cost callers more than waiting.
func TestSlowUpstreamsDoNotMakeADataCentreUnreachable(t *testing.T) {
	if sent, _ := play(NewTracker(), 1100, 1e9, 1e9, 10000); sent != 200 {
		t.Errorf("%d of 200 requests were sent to a data centre that responds late", sent)
	}
	tr := NewTracker()
	for ms := 0; ms < 5000; ms += 100 {
		if !tr.Reachable("b", at(ms)) {
			t.Fatalf("one silent upstream made the data centre unreachable after %d ms", ms)
		}
		tr.Start("b", "u1", 0, at(ms))
	}
}

// Requests that start after a pause must not be taken for silent because nothing arrived in it.
func TestPauseIsNoSilence(t *testing.T) {
	tr := NewTracker()
	tr.Start("b", "u1", 0, at(0)).End(true, at(200))
	for i := range 5 {
		tr.Start("b", fmt.Sprint("u", i), 0, at(60000+i))
	}
	if !tr.Reachable("b", at(60100)) {
		t.Error("unreachable 100 ms after the first request of a busy period")
	}
}

// A host that sends few requests, each of which may take seconds, hears nothing for a while. With a
// bound of 0.6 s for all requests, 177 data centres counted as unreachable on a day without a partition.
func TestRequestsWithinTheirObjectiveAreNotSilent(t *testing.T) {
	tr := NewTracker()
	tr.Start("b", "u0", 3*time.Second, at(0)).End(true, at(100))
	for i := range 4 {
		tr.Start("b", fmt.Sprint("u", i), 3*time.Second, at(200+i))
	}
	if !tr.Reachable("b", at(2900)) {
		t.Error("unreachable although no request has exceeded its objective")
	}
	if tr.Reachable("b", at(3300)) {
		t.Error("reachable although four requests have exceeded it and nothing was heard for 3.2 s")
	}
}
