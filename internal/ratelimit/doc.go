// Package ratelimit limits the rate of requests that all hosts of a fleet
// together send to an upstream: to the limit that the upstream reports, or to
// that of its slow start. Package dispatch also limits the rate of suspect requests
// with one fingerprint, to any upstreams, in the same way as a reported limit.
//
// No host sees what the others send. For a reported limit the planner's
// Allocator therefore issues permits, one at a time at low rates and a few at
// once at higher ones; each host's Limiter requests them. Only requests under
// such a limit cost a call, and a host that was denied a permit requests one
// again only when the next is due.
//
// A host that can't reach the planner falls back to an IntervalLimiter at a fraction
// of an equal share of the limit: the other hosts may still get permits from
// the planner. In an upstream's slow start every host uses an IntervalLimiter.
package ratelimit
