// Package ownership decides which upstream owns which keys.
//
// A Table divides a service's keys into contiguous ranges, each with one
// owner and a fencing token. It is stored whole as one record in the log
// and changed only by compare-and-append. Rebalance and the hold ledger
// are pure decisions; package planner carries them out.
package ownership
