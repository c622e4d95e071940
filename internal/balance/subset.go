package balance

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/papayatide/papayatide/internal/catalogue"
)

const (
	// localSubsetSize and remoteSubsetSize are how many upstreams of a service a host
	// uses in its own data centre and in the others. They bound the host's connections
	// and the load data that it receives, whatever the fleet's size, and the host sends
	// to each upstream of the subset often enough to measure it.
	localSubsetSize  = 24
	remoteSubsetSize = 12
)

// serviceSubset holds the upstreams of a service that this host uses.
type serviceSubset struct {
	// all is the list of the service's upstreams from which the subset was built.
	all           []*catalogue.Upstream
	local, remote []*catalogue.Upstream
}

// builtFrom reports whether the subset was built from this list. A list is never
// modified, so the address of its first element identifies it.
func (s *serviceSubset) builtFrom(ups []*catalogue.Upstream) bool {
	return len(s.all) == len(ups) && (len(ups) == 0 || &s.all[0] == &ups[0])
}

// subsetFor returns this host's subset of a service's upstreams; ups lists all of them.
func (p *Picker) subsetFor(ups []*catalogue.Upstream, localDataCentre string) *serviceSubset {
	if len(ups) == 0 {
		return &serviceSubset{}
	}
	service := ups[0].Service
	if s := p.subsets[service]; s != nil && s.builtFrom(ups) {
		return s
	}
	s := &serviceSubset{all: ups}
	for _, u := range ups {
		switch {
		case u.Draining():
		case u.DataCentre == localDataCentre:
			s.local = append(s.local, u)
		default:
			s.remote = append(s.remote, u)
		}
	}
	s.local, s.remote = subset(p.host, s.local, localSubsetSize), subset(p.host, s.remote, remoteSubsetSize)
	p.subsets[service] = s
	return s
}

// Subset is a sorted list of upstream IDs and its hash.
type Subset struct {
	IDs  []string
	Hash uint64
}

// Subset returns the upstreams that this host uses, of all services for which Pick was
// called.
func (p *Picker) Subset() Subset {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out Subset
	for _, s := range p.subsets {
		for _, list := range [][]*catalogue.Upstream{s.local, s.remote} {
			for _, u := range list {
				out.IDs = append(out.IDs, u.ID)
			}
		}
	}
	slices.Sort(out.IDs)
	out.Hash = xxhash.Sum64String(strings.Join(out.IDs, " "))
	return out
}

// subset returns the n upstreams with the highest rendezvous hashes for the host. Adding
// or removing an upstream changes at most one of them, and each upstream is in the
// subsets of about equally many hosts.
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
