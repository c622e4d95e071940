package entryhost

import (
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/upstream"
)

// entryDecision is what a host does with an entry of the upstreams stream.
type entryDecision int

const (
	adoptEntry entryDecision = iota
	// keepNewerEntry ignores an entry that its upstream wrote before the newest one known. A call to the
	// log service without a response may be carried out seconds later, after newer writes.
	keepNewerEntry
	// confirmEntry keeps the upstream out until it confirms that it is ready.
	confirmEntry
)

// knownUpstream is what a host knows of an incarnation when it reads a further entry of it.
type knownUpstream struct {
	// newest is its entry with the highest sequence number.
	newest *catalogue.Upstream
	// removed is set while it has no entry; one that another writer has replaced counts as an entry.
	removed bool
}

// decideEntry returns what to do with an entry of an incarnation; known is nil if this is its first. The
// order of the log's records does not count, that of the writes does. Heartbeats that change nothing
// leave no record, so that a late one can have a higher number than any read before: an entry that
// states ready does not prove that an upstream which was leaving or removed has returned.
func decideEntry(known *knownUpstream, next *catalogue.Upstream) entryDecision {
	switch {
	case known == nil:
		return adoptEntry
	case !next.Leaving && (known.newest.Leaving || known.removed):
		return confirmEntry
	case next.Sequence < known.newest.Sequence:
		return keepNewerEntry
	}
	return adoptEntry
}

const (
	// checkTimeout bounds a health check.
	checkTimeout = time.Second
	// firstCheckInterval and maxCheckInterval are the time between two health checks of an upstream,
	// which doubles with each.
	firstCheckInterval, maxCheckInterval = 250 * time.Millisecond, 2 * time.Second
	// maxBusyTime is how long an upstream without room for health checks is kept out.
	maxBusyTime = 1500 * time.Millisecond
)

// confirmation is the check of an upstream that is ready according to its entry.
type confirmation struct {
	entry *catalogue.Upstream
	// value is that of the entry's record.
	value []byte
	// outdated is set if the upstream has reported that it is leaving in an entry that is as new, or has
	// written a newer one.
	outdated bool
	// since is when the first check began; zero before.
	since, nextAt time.Time
	interval      time.Duration
	inFlight      bool
}

// confirms reports whether the upstream counts as ready after a check at now. One that gives no
// response to the check would not respond to requests either. Without a statement of the upstream's own
// the order of its writes decides.
func (c *confirmation) confirms(answer upstream.Health, now time.Time) bool {
	switch answer {
	case upstream.Healthy:
		return true
	case upstream.Unsupported:
		return !c.outdated
	case upstream.Busy:
		return !c.outdated && now.Sub(c.since) >= maxBusyTime
	}
	return false
}
