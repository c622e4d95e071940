// Package membership tracks which entry hosts are alive, from the heartbeats
// that they append to the log service's entryhosts stream. A host is alive if
// its last heartbeat is recent compared with the newest one read. Both times are
// the log service's record timestamps, so entry hosts' clocks do not matter.
//
// The members in package placement are not hosts but upstreams.
package membership
