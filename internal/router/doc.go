// Package router serves callers of keyed services on an entry host. It is an
// http.Handler that looks up the key's owner in the routing table, forwards the
// request with fencing token, idempotency key and deadline, and returns the
// target's status, content type and body, or a refusal that states whether the
// work may have run. A request that must not be forwarded is refused at once.
package router
