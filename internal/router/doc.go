// Package router is the entry host's traffic side: an http.Handler that
// takes a caller's keyed request, looks up the owner in the routing table in
// force, forwards it with the fencing token, idempotency key and deadline,
// and returns the target's whole answer or a truthful refusal at once.
package router
