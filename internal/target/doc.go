// Package target is the client of the target servers (upstreams) of published
// manifests. It forwards callers' requests with shard, fencing token, idempotency
// key and deadline, sends grants and probes health.
//
// The paths, headers and the Grant body defined here are the protocol between
// papayatide and a target.
//
// A GET or HEAD request whose first attempt gets no response within
// Client.AttemptTimeout, or whose pooled connection breaks while the target is
// still running, is sent once more on a new connection. A pooled connection can
// be blackholed: it stays open but no longer carries data, for example because a
// middlebox dropped its state. Without the second attempt, a request on such a
// connection would wait for the caller's whole deadline although new connections
// work. Requests with other methods are sent only once, also if they have an
// idempotency key.
package target
