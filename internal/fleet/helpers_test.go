package fleet

import (
	"slices"
	"testing"
	"time"
)

// Guards against helpers that are cut off, gone or the caller itself, against one helper for all
// callers, and against none where a whole data centre is cut off.
func TestHelpersReachUpstreamsAndAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New("a")
	host := func(name, dataCentre string, cutOff bool) Host {
		return Host{Name: name, DataCentre: dataCentre, PeerAddr: name + ":1", CutOff: cutOff}
	}
	for _, name := range []string{"a1", "a2", "a3", "a4", "a5", "a6"} {
		f.RecordCall(host(name, "a", name == "a6"), now)
	}
	f.RecordCall(host("gone", "a", false), now.Add(-2*livenessTimeout))
	f.RecordCall(host("b1", "b", false), now)
	self := host("self", "a", true)
	first := map[string]bool{}
	for _, name := range []string{"a1", "a2", "a3", "a4", "a5", "a6"} {
		got := f.Helpers(host(name, "a", true), self, nil, now)
		if len(got) != maxHelpers || slices.Contains(got, name+":1") || slices.Contains(got, "a6:1") || slices.Contains(got, "gone:1") || slices.Contains(got, "self:1") {
			t.Errorf("helpers of %s: %v", name, got)
		}
		first[got[0]] = true
	}
	if len(first) < 2 {
		t.Errorf("all callers begin with %v", first)
	}
	f = New("a")
	f.RecordCall(host("a1", "a", true), now)
	if got := f.Helpers(host("a1", "a", true), self, []string{"a1:1", "c1:1"}, now); !slices.Equal(got, []string{"c1:1"}) {
		t.Errorf("helpers in a data centre that is cut off: %v, want those of the relay", got)
	}
}
