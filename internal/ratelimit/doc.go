// Package ratelimit keeps all hosts of a fleet together to a rate of requests that
// an upstream takes: one that it reports, or that of its slow start.
//
// No host sees what the others send. The planner's Allocator therefore hands out
// leave to send, request by request at low rates and a few at a time at higher
// ones; a Limiter asks it on behalf of its host. Only requests to upstreams with a
// limit cost a call, and a host that was turned down does not ask again before the
// next leave is due.
//
// A host that reaches no planner falls back to a share of its own, see Gate: a
// part of an equal share, since others may go on with the planner's leave.
package ratelimit
