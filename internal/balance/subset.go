package balance

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/papayatide/papayatide/internal/catalogue"
)

const (
	// localSubsetSize and farSubset are how many upstreams of a service a host uses
	// in its own data centre and in the others. What a host keeps open and is
	// told of grows with them and not with the fleet, and it sees each often
	// enough to learn of it.
	localSubsetSize  = 24
	remoteSubsetSize = 12
)

// serviceSubset is what a host uses of a service's upstreams.
type serviceSubset struct {
	// all are all of the service's, from which it was made.
	all           []*catalogue.Upstream
	local, remote []*catalogue.Upstream
}

// builtFrom reports whether the set was made from the list. Lists are never changed.
func (s *serviceSubset) builtFrom(ups []*catalogue.Upstream) bool {
	return len(s.all) == len(ups) && (len(ups) == 0 || &s.all[0] == &ups[0])
}

// subsetFor returns the host's set of a service's upstreams.
func (b *Picker) subsetFor(ups []*catalogue.Upstream, home string) *serviceSubset {
	if len(ups) == 0 {
		return &serviceSubset{}
	}
	service := ups[0].Service
	if s := b.subsets[service]; s != nil && s.builtFrom(ups) {
		return s
	}
	s := &serviceSubset{all: ups}
	for _, u := range ups {
		switch {
		case u.Draining():
		case u.DataCentre == home:
			s.local = append(s.local, u)
		default:
			s.remote = append(s.remote, u)
		}
	}
	s.local, s.remote = subset(b.host, s.local, localSubsetSize), subset(b.host, s.remote, remoteSubsetSize)
	b.subsets[service] = s
	return s
}

// Subset is a list of upstreams, and a number that stands for it.
type Subset struct {
	IDs  []string
	Hash uint64
}

// Subset returns the upstreams that this host uses of all services for which it
// has chosen one.
func (b *Picker) Subset() Subset {
	b.mu.Lock()
	defer b.mu.Unlock()
	var u Subset
	for _, s := range b.subsets {
		for _, list := range [][]*catalogue.Upstream{s.local, s.remote} {
			for _, up := range list {
				u.IDs = append(u.IDs, up.ID)
			}
		}
	}
	slices.Sort(u.IDs)
	u.Hash = xxhash.Sum64String(strings.Join(u.IDs, " "))
	return u
}

// subset returns the n upstreams with the highest rendezvous score for the host.
// An upstream that comes or goes changes one of them at most, and all hosts
// together use each about equally often.
func subset(host string, ups []*catalogue.Upstream, n int) []*catalogue.Upstream {
	if len(ups) <= n {
		return ups
	}
	type scored struct {
		score uint64
		up    *catalogue.Upstream
	}
	all := make([]scored, len(ups))
	for i, u := range ups {
		all[i] = scored{xxhash.Sum64String(host + " " + u.ID), u}
	}
	slices.SortFunc(all, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	out := make([]*catalogue.Upstream, n)
	for i := range out {
		out[i] = all[i].up
	}
	return out
}
