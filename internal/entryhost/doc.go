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
// Hosts elect the planner through a consumer group of the log service
// (metastore.Store.JoinElection). The service assigns the twelve partitions of
// the election's topic to the group's members, and the member with partition 0
// holds the planner lease. The group rebalances whenever a member joins or
// leaves. With fewer members than partitions, some hold two and must give one to
// a new member: the planner could then lose its lease to a host that has
// restarted or reconnected after a network partition. Each such loss leaves the
// fleet without a planner for 0.6 s and starts a new term. In a small fleet every
// host therefore joins as two members: six hosts then have as many members as
// there are partitions, and no member holds two (elector.go).
//
// A candidate is a host whose CPU and link suffice for the planner. It seeks the
// planner lease at once, and may be chosen as a relay. The other hosts seek the
// lease only while no candidate seems alive, and such a planner gives it up once
// a candidate follows it.
package entryhost
