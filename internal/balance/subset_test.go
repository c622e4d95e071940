package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

func manyUpstreams(n int) []*catalogue.Upstream {
	ups := make([]*catalogue.Upstream, n)
	for i := range ups {
		ups[i] = &catalogue.Upstream{ID: fmt.Sprint("u", i), Service: "s", Slots: 3, DataCentre: "dc"}
	}
	return ups
}

// Seventy-nine hosts use a part each of 115 upstreams: none is left out, none is
// used by several times as many hosts as another, and one that goes changes one of
// a host's at most, so that what the host knows of the others stays of use.
func TestSubsetsCoverAllUpstreamsAndAreStable(t *testing.T) {
	ups := manyUpstreams(115)
	users := map[string]int{}
	for h := range 79 {
		host := fmt.Sprint("host", h)
		all := subset(host, ups, localSubsetSize)
		in := map[string]bool{}
		for _, u := range all {
			in[u.ID] = true
			users[u.ID]++
		}
		changed := 0
		for _, u := range subset(host, ups[1:], localSubsetSize) {
			if !in[u.ID] {
				changed++
			}
		}
		if len(all) != localSubsetSize || changed > 1 {
			t.Errorf("%s uses %d, %d of them new after one has gone", host, len(all), changed)
		}
	}
	mean := 79 * localSubsetSize / len(ups)
	for _, u := range ups {
		if n := users[u.ID]; n < mean/3 || n > mean*3 {
			t.Errorf("%s is used by %d hosts, the mean is %d", u.ID, n, mean)
		}
	}
}

// All upstreams that a host uses fail, while others of the service do not. Its
// callers are sent to those.
func TestPickFallsBackOutsideTheSubset(t *testing.T) {
	b, ups, now := NewPicker("h"), manyUpstreams(100), time.Now()
	c := Criteria{LocalDataCentre: "dc"}
	b.Pick(ups, c, now)
	mine := map[string]bool{}
	for _, id := range b.Subset().IDs {
		mine[id] = true
		for range ejectionThreshold {
			b.Done(id, Failed, 0, now)
		}
	}
	if len(mine) != localSubsetSize {
		t.Fatalf("uses %d", len(mine))
	}
	for range 20 {
		if u := b.Pick(ups, c, now); u == nil || mine[u.ID] {
			t.Fatalf("%v is chosen", u)
		}
	}
}

// An order of any length names each place once.
func TestPermutationVisitsEachIndexOnce(t *testing.T) {
	for n := range 200 {
		seen := make([]bool, n)
		o := newPermutation(n)
		for range n {
			at := o.next()
			if seen[at] {
				t.Fatalf("%d of %d twice", at, n)
			}
			seen[at] = true
		}
	}
}
