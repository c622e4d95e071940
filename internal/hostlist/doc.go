// Package hostlist is papayatide's client of the platform's list of live
// and leaving hosts. The list lags, so papayatide uses it only to stop
// sending work to a target sooner (a leaving host), never to decide that a
// target is alive.
package hostlist
