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
// Let bound be the longest that an upstream may keep keys after a grant was
// sent to it: Hold, its clock's slowness and the way there. A key moves from U
// to V only by a record in the log, and that is appended only when U cannot
// hold the key any more, because
//
//   - no grant to U is under way,
//   - U answered a release, or bound has passed since the last grant that may
//     have reached it,
//   - bound has passed since the last grant to U that got no answer, and
//   - U has acknowledged a token of this term on the key, or bound has passed
//     since the last grant that an earlier planner may have sent.
//
// The last line is about planners that do not know yet that they were
// replaced. One proved its seat before its successor's first record, and sends
// nothing later than ViewAge after its last proof; history.go has the bounds.
package planner
