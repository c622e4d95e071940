package entryhost

import (
	"slices"

	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

// acceptedGrant is a grant that an upstream has accepted.
type acceptedGrant struct {
	rng      ownership.Range
	upstream *rangeowner.Upstream
}

// auditGrant fails the test if another running upstream holds a key of an accepted grant, or
// has accepted one under the same fencing token.
func (f *testFleet) auditGrant(g acceptedGrant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		if u != g.upstream && u.HoldsAny(g.rng) {
			f.t.Errorf("OWNER: keys %d to %d granted to %s (token %d) while %s holds some of them", g.rng.From, g.rng.To, g.upstream.ID, g.rng.FencingToken, u.ID)
		}
	}
	for _, old := range f.grants {
		if old.upstream != g.upstream && old.rng.FencingToken == g.rng.FencingToken && old.rng.From <= g.rng.To && g.rng.From <= old.rng.To {
			f.t.Errorf("OWNER: keys %d to %d granted to %s under token %d, under which %s had some of them", g.rng.From, g.rng.To, g.upstream.ID, g.rng.FencingToken, old.upstream.ID)
		}
	}
	if !slices.Contains(f.grants, g) {
		f.grants = append(f.grants, g)
	}
}
