// Package target is the client of the target servers (upstreams) of published
// manifests. It forwards callers' requests with shard, fencing token, idempotency
// key and deadline, sends grants and probes health.
//
// The paths, headers and the Grant body defined here are the protocol between
// papayatide and a target.
//
// An idempotent request whose first attempt gets no response within
// Client.AttemptTimeout, or whose pooled connection breaks while the target is
// still running, is sent once more on a new connection. Pooled connections can
// stop carrying data for good, for example when a middlebox drops their state;
// without the second attempt such a request would wait for the caller's whole
// deadline although new connections work. Other requests are sent only once.
package target
