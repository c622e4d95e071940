// Package hostlist is a client of the platform's list of live and leaving hosts.
// The hosts in this list are those that targets run on, not entry hosts.
//
// The list lags, so papayatide uses it only to stop sending requests to a leaving
// target earlier, never to decide that a target is alive.
package hostlist
