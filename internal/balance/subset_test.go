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

// 79 hosts use a subset each of 115 upstreams. Every upstream is used by between a third
// and three times the mean number of hosts, and the removal of one upstream changes at
// most one of a host's subset: its measurements of the others stay valid.
func TestSubsetsCoverAllUpstreamsAndAreStable(t *testing.T) {
	ups := manyUpstreams(115)
	users := map[string]int{}
	for h := range 79 {
		host := fmt.Sprint("host", h)
		before := subset(host, ups, localSubsetSize)
		in := map[string]bool{}
		for _, u := range before {
			in[u.ID] = true
			users[u.ID]++
		}
		changed := 0
		for _, u := range subset(host, ups[1:], localSubsetSize) {
			if !in[u.ID] {
				changed++
			}
		}
		if len(before) != localSubsetSize || changed > 1 {
			t.Errorf("%s uses %d upstreams, %d of them new after the removal of one", host, len(before), changed)
		}
	}
	mean := 79 * localSubsetSize / len(ups)
	for _, u := range ups {
		if n := users[u.ID]; n < mean/3 || n > mean*3 {
			t.Errorf("%s is used by %d hosts, the mean is %d", u.ID, n, mean)
		}
	}
}

// All upstreams of a host's subset are ejected. Pick must return upstreams of the service
// that are outside the subset.
func TestPickFallsBackOutsideTheSubset(t *testing.T) {
	p, ups, now := NewPicker("h"), manyUpstreams(100), time.Now()
	c := Criteria{LocalDataCentre: "dc"}
	p.Pick(ups, c, now)
	mine := map[string]bool{}
	for _, id := range p.Subset().IDs {
		mine[id] = true
		for range ejectionThreshold {
			p.Done(id, Failed, 0, now)
		}
	}
	if len(mine) != localSubsetSize {
		t.Fatalf("the subset has %d upstreams", len(mine))
	}
	for range 20 {
		if u := p.Pick(ups, c, now); u == nil || mine[u.ID] {
			t.Fatalf("picked %v", u)
		}
	}
}

// A permutation of any length yields each index once.
func TestPermutationVisitsEachIndexOnce(t *testing.T) {
	for n := range 200 {
		seen := make([]bool, n)
		o := newPermutation(n)
		for range n {
			at := o.next()
			if seen[at] {
				t.Fatalf("index %d of %d is yielded twice", at, n)
			}
			seen[at] = true
		}
	}
}
