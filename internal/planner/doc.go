// Package planner manages the ownership of each keyed service's keys. It
// renews the owners' grants, moves keys off upstreams that leave, are lost or
// are overloaded, and records every change in the ownership stream of the log
// before it grants the keys to their new owner.
//
// One host at a time is the planner: the one that holds the planner lease,
// which the log service assigns to one member of an election. The first record
// of a planner's term raises the fencing token of every range. An upstream that
// has seen the new token rejects all grants of previous planners. The keys of
// an upstream that has not seen it get no other owner until every grant that a
// previous planner may have sent has expired.
//
// The package is a state machine without goroutines, network access or a clock
// of its own: Tick returns the calls to make, and the caller passes their
// results back.
//
// # Why no key has two owners
//
// Let bound be the longest time for which an upstream may keep keys after a
// grant was sent to it: the grant TTL, plus the drift of the upstream's clock
// and the delay until the grant arrives. A key moves from U to V only through a
// record in the log. The planner appends that record only once U can no longer
// hold the key, because
//
//   - no grant to U is in flight,
//   - U answered a release, or bound has passed since the last grant that may
//     have reached it,
//   - bound has passed since the last grant to U that got no answer, and
//   - U has acknowledged a token of this term for the key, or bound has passed
//     since the last grant that a previous planner may have sent.
//
// The last condition covers planners that do not know yet that they were
// replaced. Such a planner last renewed its lease before the first record of
// its successor, and sends nothing later than MaxViewAge after that renewal;
// history.go and retire.go compute the bounds.
//
// # Servers that restart under the same ID
//
// A restarted server holds no grants and has forgotten every token. What an
// earlier incarnation acknowledged therefore proves nothing: the new one may
// accept a grant from a previous planner, or one sent to the earlier
// incarnation. Each incarnation is an owner of its own
// (catalogue.IncarnationID), while grants in flight are counted per server. Two
// rules follow.
//
//   - The keys of an incarnation that has ended go to the next incarnation of
//     the same server at once. Even if it accepts a grant meant for the earlier
//     one, no other upstream owns those keys.
//   - A planner that has not renewed its lease within maxLeaseAge sends grants
//     only over connections that are already open. Such a connection ends with
//     the incarnation at its other end, and an incarnation that acknowledged a
//     newer planner's token has not forgotten it. Until all previous planners
//     are known to be restricted in this way, such an acknowledgement does not
//     count.
//
// # Previous planners
//
// Until a previous planner is known to have stopped, keys of owners that do not
// answer this planner may still be granted to them. After each change of
// planner such keys had no owner for MaxViewAge and a grant TTL, 9.2 s. The
// planner therefore asks previous planners to retire. One that was stopped or
// restarted, or still runs, confirms that within milliseconds; one that is
// partitioned or stalled does not, and its bounds apply. All that may still
// send are asked, not only the last: when the lease changed hands five times in
// ten seconds, each new planner waited for the one before the last.
//
// # Keys of many lost owners
//
// Requests for keys that were reassigned without a handover are slow for
// seconds. When a partition cut off a third of the owners, the others got all
// their keys as soon as the grants had expired, and with them twice the load
// that they could serve. Until some seconds after the partition, requests for
// all keys were refused, also for those whose owners were never lost. The
// planner therefore reassigns such keys only as fast as the other owners'
// capacity allows. Some keys wait longer, mostly until their owners are back.
package planner
