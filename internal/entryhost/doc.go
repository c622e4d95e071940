// Package entryhost runs one entry host on the platform. The host follows the
// log service's streams, plans key ownership while it holds the planner lease,
// and routes callers' requests to upstreams.
//
// One goroutine, the controller's in control.go, owns the host's state. Stream
// readers and asynchronous calls post their results to it as functions.
// Request handlers read the immutable view that it publishes.
//
// The planner reads the log service. The other hosts follow the planner's
// replica of the log, or that of a relay in their data centre, and read the log
// service themselves only while that replica is missing or too old
// (logsyncer.go).
//
// # Planner election
//
// The log service's group assigns the twelve partitions of a topic to its
// members. The member with partition 0 holds the planner lease. The group
// rebalances whenever a member joins or leaves. With fewer members than
// partitions, some hold two and must give one to a new member, so that the
// planner could lose its lease to a host that restarted or came back from a cut.
// Each such loss leaves 0.6 s without a planner and starts a new term. Every
// host therefore joins as two members in a small fleet: six hosts then have as
// many members as there are partitions, and no member holds two (elector.go).
package entryhost
