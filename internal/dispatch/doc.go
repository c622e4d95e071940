// Package dispatch carries callers' requests to upstreams and their answers
// back: it finds the route, the owner of the key or the upstream that will
// answer first, sends, and decides whether a failed send may be repeated.
package dispatch
