package entryhost

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/metastore"
)

// stallThreshold is the gap between two runs of the control goroutine above
// which the host counts as stalled. Normally the goroutine runs at least every
// followerTickInterval.
const stallThreshold = time.Second

// detectStall checks whether the host did not run for a while. The log service
// may have failed meanwhile, so a stall counts as an outage that has just
// ended. Without the check, a host that stalls through an outage unlists all
// upstreams, because their entries have expired, and moves every key.
func (c *controller) detectStall() {
	now := c.clock()
	if gap := now.Sub(c.lastRun); c.lastRun != 0 && gap > stallThreshold {
		c.logRecoveredAt = time.Now()
		c.replica.RecordLogFailure(c.logRecoveredAt)
		c.onGap(c.logRecoveredAt.Add(-gap), c.logRecoveredAt)
		c.zl.Warn("host stalled: its control loop did not run", zap.Int("event", events.HostStalled), zap.Duration("age", gap))
	}
	c.lastRun = now
}

// detectUnreliableStart handles a sign that the log service had failed, or returned from a copy, when
// this host started: the entries that it reads first may be from before a restart.
func (c *controller) detectUnreliableStart() {
	now := time.Now()
	if !c.entriesRead.IsZero() && now.Sub(c.startedAt) > relistGracePeriod {
		return
	}
	if now.Sub(c.logRecoveredAt) > relistGracePeriod { // as in onStreamResult, the first recovered stream counts
		c.logRecoveredAt = now
	}
	c.entriesRead = time.Time{}
	c.onGap(time.Time{}, now)
	c.zl.Info("upstreams count as cold until their entries are complete", zap.Int("event", events.EntriesUnreliable), zap.Duration("age", now.Sub(c.startedAt)))
}

// entriesReadUntil returns the time up to which this host has read all entries that upstreams wrote.
// Within relistGracePeriod of an outage of the log service, or of its return from a copy, their
// entries may still be missing or older than what they wrote before; it then returns the time
// that was valid before.
func (c *controller) entriesReadUntil() time.Time {
	current := c.replica.CurrentAt(metastore.StreamUpstreams)
	if current.Before(c.logRecoveredAt.Add(relistGracePeriod)) {
		return c.entriesRead
	}
	return current
}

// holdsOwnershipStream reports whether this host's replica has the ownership stream up to the
// end that the planner knows. A record that was appended before the stream was first read does not
// continue the replica; if the stream were not read then, followers would never get that record
// or a later one.
func (c *controller) holdsOwnershipStream() bool {
	return !c.replica.Next(metastore.StreamOwnership).Before(c.planner.StreamEnd())
}
