// Package ingress bounds what the clients of a process make it hold: connections, and the heads of
// requests that have not been read to their end. Bodies are bounded by package bodybudget.
//
// A Listener accepts a number of connections. A further one takes the place of the connection that has
// waited longest for its client: it is idle, or a request's head or body is incomplete, or the client does
// not read a response. Connections whose request is being served are never closed; if there are no others,
// the new one is closed. Both are resets, before the request was read or served in full, so that nothing
// was promised.
//
// Heads are charged for what they take once parsed. What exceeds a fixed part of each connection comes from
// a budget that all connections of the process share; a connection for which it has no room is closed.
//
// Bytes that the kernel has received count too: once a listener has many connections, those that it accepts
// get a small receive buffer.
package ingress
