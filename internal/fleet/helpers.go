package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// maxHelpers is how many helpers a host is told.
const maxHelpers = 4

// Helpers returns the peer addresses of hosts that reach upstreams, for a caller that may lose its
// paths to them: those of its data centre first, in an order that differs by caller. self is this
// host. relayed are the helpers that this host was told itself; they fill the list up, as a
// relay knows no hosts of other data centres.
func (f *Fleet) Helpers(caller, self Host, relayed []string, now time.Time) []string {
	type candidate struct {
		Host
		score uint32
	}
	var usable []candidate
	add := func(h Host) { usable = append(usable, candidate{h, rendezvous(caller.Name, h.Name)}) }
	if !self.CutOff {
		add(self)
	}
	for _, h := range f.LiveHosts(now) {
		if h.Name != caller.Name {
			add(h)
		}
	}
	slices.SortFunc(usable, func(a, b candidate) int {
		if la, lb := a.DataCentre == caller.DataCentre, b.DataCentre == caller.DataCentre; la != lb {
			if la {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Name, b.Name))
	})
	var out []string
	for _, h := range usable[:min(len(usable), maxHelpers)] {
		out = append(out, h.PeerAddr)
	}
	for _, addr := range relayed {
		if len(out) < maxHelpers && addr != caller.PeerAddr && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// LiveHosts returns the hosts that reach upstreams and have called recently, in no order.
func (f *Fleet) LiveHosts(now time.Time) []Host { return f.HostsCalledSince(now.Add(-livenessTimeout)) }

// HostsCalledSince returns the hosts that reach upstreams and have called since the given time, in no
// order.
func (f *Fleet) HostsCalledSince(since time.Time) []Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Host
	for _, e := range f.hosts {
		if !e.CutOff && !e.lastCall.Before(since) {
			out = append(out, e.Host)
		}
	}
	return out
}

// rendezvous returns the score of a host for a caller.
func rendezvous(caller, host string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(caller + " " + host)) // never fails
	return h.Sum32()
}
