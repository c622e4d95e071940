// Package routing holds the routing table: an immutable snapshot of the
// manifest and placement in force, built by the control loop and read by
// every traffic goroutine without locks. Lookup turns a service and key into
// the owning upstream and the fencing token to send, or a refusal.
package routing
