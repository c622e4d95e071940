// Package planner keeps each keyed service's ownership in order: it renews
// the owners' grants, moves keys off upstreams that leave, are lost or are
// overloaded, and records each change in the log before the new owner is
// told.
//
// One host plans at a time. It holds the planner's seat in the log service's
// group, and its first record of a term raises every fencing token, so that
// whatever its predecessor still sends is refused by each upstream that has
// seen the new token. Upstreams that have not are given no key's successor
// until every grant the predecessor may have sent has run out.
//
// The package is a state machine without goroutines, network or clock of its
// own: Tick returns the calls to make, and their results are handed back.
//
// # Why no key has two owners
//
// Let Hold be the time of a grant, Skew the slowness of an upstream's clock,
// and ViewAge the longest that a planner renews without having proved its
// seat. A key moves from U to V only by a record in the log, and that is
// appended only when U cannot hold the key any more, because
//
//   - U answered a release, and no grant to U is without an answer, or
//   - now > last grant that may have reached U + Hold·(1+Skew), and
//   - U has acknowledged a token of this term, or
//     now > start of term + ViewAge + Hold·(1+Skew).
//
// The third line bounds the predecessor: it proved its seat before this term
// began, so it sends nothing later than start of term + ViewAge.
package planner
