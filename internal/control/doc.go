// Package control implements an entry host's control loop. One goroutine,
// Loop.Run, owns all control state: it reads the manifest and placement
// streams of the log service, probes the upstreams of its own data centre,
// proposes placement changes by conditional append, sends and renews fenced
// grants, and publishes an immutable routing table that request goroutines read.
//
// Entry hosts agree on placement only through the log. A proposal names the
// offset it must be written at, so exactly one of two concurrent proposals is
// written, and its offset becomes the epoch and fencing token. Only the entry
// hosts of a shard's home data centre change its owner, so no other host can
// change the placement of a data centre that is cut off from the others.
package control
