// Package dispatch forwards callers' requests to upstreams and returns their
// responses. It matches the route, chooses the owner of the key or an upstream
// with a low cost (see package balance), sends the request, and decides whether
// a failed attempt may be retried.
//
// An attempt that the upstream certainly did not run may be retried on any
// route; one that may have run is retried only on idempotent routes. A caller
// whose request may have run gets the upstream's response, 502 or 504, and never
// a 503 of this host, which guarantees that the request did not run.
package dispatch
