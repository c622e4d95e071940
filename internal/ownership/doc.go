// Package ownership decides which upstream owns which keys.
//
// A Table divides a service's keys into contiguous ranges, each with at most
// one owner and with a fencing token. It is stored whole as one record in the log
// and changed only by compare-and-append. Rebalance is a pure function that
// plans moves; package planner carries them out.
package ownership
