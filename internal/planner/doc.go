// Package planner manages the ownership of each keyed service's keys. It
// renews the owners' grants, moves keys off upstreams that leave, are lost or
// are overloaded, and records every change in the ownership stream of the log
// before it grants the keys to their new owner.
//
// One host at a time is the planner: the one that holds the planner lease,
// which the log service assigns to one member of an election. A planner has one
// term for each service; the first record of a term raises the fencing token of
// every range of that service. An upstream that has seen the new token rejects
// all grants of previous planners. The keys of an upstream that has not seen it
// get no other owner until every grant that a previous planner may have sent has
// expired.
//
// Type Planner is a state machine that runs on every host, whether or not the
// host is the planner. It has no goroutines, network access or clock of its own:
// Tick returns the calls to make, and the caller passes their results back.
//
// # Why no key has two owners
//
// Let maxGrantValidity be the longest time for which an upstream may keep keys
// after a grant was sent to it over a working path: the grant TTL, plus the drift of the
// upstream's clock and the delay until the grant arrives. A key moves from U to V only
// through a record in the log. The planner appends that record only once U can
// no longer hold the key, because
//
//   - no grant to U is in flight,
//   - U responded to a release, or maxGrantValidity has passed since the last grant
//     that may have reached it,
//   - maxGrantValidity has passed since the last grant to U that got no response,
//     and
//   - U has acknowledged a token of this term for the key, or maxGrantValidity
//     has passed since the last grant of a previous planner may have arrived.
//
// The last condition covers planners that do not know yet that they were
// replaced. Such a planner last renewed its lease before the first record of
// the next planner, and sends nothing later than Options.MaxRenewalAge after that
// renewal; history.go and retire.go compute the deadline.
//
// # Grants that a partition holds up
//
// A partition may hold a grant up and deliver it after its end. A process that runs prevents
// this: a call that times out resets its connection, which discards what was not delivered. A
// process that is killed or stalled does not. Its host's kernel may keep the bytes and retransmit
// them, at growing intervals, for as long as the upstream accepts them. Neither the length of the
// partition nor the time for which the sender retransmits bounds that, but the upstream does: it
// closes connections that are idle, and bytes for a closed connection are rejected. The last exchange on
// the connection was before the process ended, so that nothing arrives later than the upstreams'
// idle timeout after that, plus the drift of the upstream's clock and the network delay
// (Planner.maxHoldUp). Upstreams state the timeout in their responses; the longest one that
// this host has seen is taken for all of them, since those in question do not respond.
//
// A planner therefore needs to know by when each process that planned before it had ended, or
// stalled: by the start of its host's present process, which the host states when it is asked to
// retire, and by the time after which it sends nothing if the host does not respond. Only
// owners that have not acknowledged the new term's token wait for this, which are those that
// the new planner does not reach.
//
// The wait ends early if the owner is known to have ended: upstreams never reject a release, so that
// a rejection comes from another process, which has the owner's address now. Calls name the server
// that they are for, so that nothing that arrives at that address later gives the owner keys. Such owners are
// therefore sent releases even when they are gone from the view.
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
//   - A planner that has not renewed its lease within recentRenewalAge sends
//     grants only over connections that are already open. Such a connection
//     ends with the incarnation at its other end, and an incarnation that
//     acknowledged a newer planner's token has not forgotten it. Until all
//     previous planners are known to be restricted in this way, such an
//     acknowledgement does not count. Nor does one from before the last connection that a previous
//     planner may have opened, until a grant that is held up on it cannot arrive any more: the
//     connection may lead to a later incarnation.
//
// # Previous planners
//
// Until a previous planner is known to send no more grants, it may still grant keys
// to owners that do not respond to this planner. Without a confirmation such keys would
// have no owner for MaxRenewalAge plus maxHoldUp plus maxGrantValidity after each change of
// planner, 20.7 s with the default settings and an idle timeout of 10 s that upstreams state. The
// planner therefore asks previous planners to retire. If the host of one responds, it confirms
// that within milliseconds, or once its last grants are no longer in flight, whether it was
// still planning or had stepped down. If it has restarted, grants of its earlier process may
// still be held up, but none was sent after the restart. A host that is partitioned or stalled
// does not respond, and the deadlines of its planner apply. Asking only the last one is not enough: if
// the lease changes hands several times within MaxRenewalAge, for example five times in
// ten seconds, earlier ones may still send grants, and the keys would wait for them.
//
// # Return of the log from an older copy
//
// The log service may return from a copy that is some seconds old (metastore.Position). Records
// since are lost, and with them which upstream has which keys: a key may be held by V although
// the newest record names U. Tokens of the new era are above all earlier ones
// (ownership.Table.TakeOver), but a higher token alone does not end V's grant.
//
// Every planner of an earlier era has renewed its lease before the new era began, and sends
// nothing later than MaxRenewalAge after that. At Planner.lostGrantsUntil all its grants have
// expired, whatever they were. Until then the first planner of the new era grants only ranges
// that are proven; the others are marked in its table (ownership.Range.Unproven), so that its
// successors wait as well.
//
// A range of the last term of planner P is proven for its owner U if U accepts a renewal under
// P's own token after P has seen the new era, while P's last lease renewal is no older than
// MaxRenewalAge. Another planner that moved the range off U did so through a record of an earlier
// era, since an append that is answered in another era is not acted upon. Before that record,
// by the conditions above, either U had acknowledged that planner's higher token, and rejects
// P's; or maxGrantValidity had passed since the last grant that P may have sent, which P's
// lease renewal rules out; or P had confirmed that it has retired, and then it renews nothing.
// The renewal is sent over an open connection, so that it reaches no later incarnation of U.
//
// P sends these renewals when its host sees the new era, from the log service or in a request to
// retire, and passes the result to the new planner in its reply (era.go). It sends nothing after that.
// If P does not respond, or its host has restarted, all ranges wait. The keys of a fleet whose
// planner lives through the return keep their owners; if no process remembers, they are without
// one for MaxRenewalAge plus maxGrantValidity.
//
// # Upstreams that the planner does not reach
//
// A planner may lose its paths to upstreams that other hosts reach, to one or to all of them, and go
// on renewing its lease. It then has another host, a helper, send its grants and releases (indirect.go).
// For the argument above these are its own: each one
//
//   - is decided within the planner's lease, and only while the lease was renewed within
//     recentRenewalAge, so that a planner restricted to open connections uses no helper;
//   - is sent by the helper no later than the planner itself might have sent it, and its call ends
//     no later. The planner states both times by the helper's clock, which it knows from a call of the
//     helper: the reading is older than the call's arrival, so that the times come out early
//     by the call's delay. The helper compares them right before it sends;
//   - counts as in flight until the helper's reply, or until the call's end. A reply that says that
//     nothing was sent is as good as the planner's own failure to connect, and so is a failure to
//     connect to the helper; any other failure of the call to the helper counts as a grant whose
//     sender is lost;
//   - reaches whichever incarnation listens, as one that the planner sends over a new connection.
//
// A planner that stops while a helper sends its grant leaves that grant in flight for at most
// relayedGrantLifetime, which maxHoldUp includes. A helper may be killed as well: if it does not reply,
// nobody is known to have ended its call, and the grant may arrive for maxHoldUp
// (ownership.ErrSenderLost). The planner does not confirm that it has retired before that.
//
// An upstream is unresponsive only if it responded neither directly nor through a helper. A planner that has lost
// its paths to all upstreams and has no helper knows nothing of them: it marks none as unresponsive and
// starts no move. The grants expire, and are renewed for the same owners once there is a path.
//
// # Handover
//
// An upstream that responds to a release returns a handover token, and the grant to
// the new owner carries it. The token lets the new owner serve the keys at full
// speed at once. Without it, requests for the keys are slow for seconds
// (desired.Service.KeyWarmUp). Keys whose old owner cannot respond to a release
// move without a handover.
//
// # Keys of many lost owners
//
// An owner is lost if it is gone, that is, no longer in the view, or unresponsive,
// that is, it has neither accepted nor fenced a grant for some time. An upstream whose
// entry in the log has lapsed stays in the view for a while (catalogue.Upstream.Unlisted)
// and counts as leaving, not as gone, until it is removed. The keys of a lost owner
// move without a handover. If a partition makes a third of the owners unreachable and
// the others get all their keys as soon as the grants have expired, the others get
// twice the load that they can serve. Until some seconds after the partition, requests for all keys are then
// refused, also for those whose owners were never lost. The planner therefore
// reassigns such keys only as fast as the other owners' capacity allows. Some
// keys wait longer, mostly until their owners are back.
package planner
