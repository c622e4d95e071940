// Package control is the entry host's control side. One goroutine, Loop.Run,
// owns all control state: it tails the manifest and placement streams in the
// log service, probes the upstreams of its own data centre, proposes
// placement changes by compare-and-append, renews fenced grants, and
// publishes an immutable routing table that traffic goroutines read.
//
// Entry hosts agree on placement only through the log: a proposal names the
// offset it expects to get, so of two racing proposals exactly one lands and
// its offset becomes the epoch and fencing token. Only a data centre's own
// entry hosts move the shards homed there, so a data centre cut off from the
// others keeps a placement no one else can change.
package control
