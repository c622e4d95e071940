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
//
// # Servers that start again under their ID
//
// A restarted server holds nothing and has forgotten every token, so that what
// an earlier life acknowledged proves nothing of it: a grant of an earlier
// planner, or one that was meant for the earlier life, may be taken. Lives are
// therefore owners apart (catalogue.LifeID), while the grants that are under
// way are accounted by server. Two rules follow.
//
//   - The keys of a life that has ended go to the next life of its server, at
//     once: whatever it takes of the earlier one's, no other upstream has them.
//   - A planner whose seat was not proved lately sends grants only over
//     connections that are open: one of them ends with the life it led to, and
//     what acknowledged a successor's token has not forgotten it. Until a term
//     is old enough for that to hold of its predecessor, such an
//     acknowledgement does not count.
package planner
