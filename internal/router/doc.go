// Package router serves callers of keyed services on an entry host. It is an
// http.Handler that looks up the key's owner in the routing table, forwards the
// request with fencing token, idempotency key and deadline, and returns the
// target's whole response, or at once a refusal that states whether the work
// may have run.
package router
