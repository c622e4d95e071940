package entryhost

import "time"

// assumedIdleTimeout is upstreams' idle timeout before any has responded to this host.
const assumedIdleTimeout = 10 * time.Second

// upstreamIdleTimeout returns the longest time for which an upstream may keep an idle connection open.
func (c *controller) upstreamIdleTimeout() time.Duration {
	toRequests, known := c.requestIdleTimeouts.Longest()
	toGrants, knownToo := c.granter.LongestIdleTimeout()
	if !known && !knownToo {
		return assumedIdleTimeout
	}
	return max(toRequests, toGrants)
}
