// Package routing holds the routing table: an immutable snapshot of the
// current manifest and placement, built by the control loop and read by
// request goroutines without locks. Lookup returns the owner of a service's key
// and the fencing token to send, or a refusal.
package routing
