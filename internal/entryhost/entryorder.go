package entryhost

import "github.com/papayatide/papayatide/internal/catalogue"

// entryDecision is what a host does with an entry of the upstreams stream.
type entryDecision int

const (
	adoptEntry entryDecision = iota
	// keepNewerEntry ignores an entry that its upstream wrote before the newest one known. A call to the
	// log service without a response may be carried out seconds later, after newer writes.
	keepNewerEntry
)

// decideEntry returns what to do with an entry of an incarnation whose newest known entry is newest;
// nil if none is known. The order of the log's records does not count, that of the writes does.
func decideEntry(newest, next *catalogue.Upstream) entryDecision {
	if newest != nil && next.Sequence < newest.Sequence {
		return keepNewerEntry
	}
	return adoptEntry
}
