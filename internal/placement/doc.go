// Package placement computes which upstream owns each key.
//
// Keys hash (xxhash) into a fixed number of shards per service. Weighted
// rendezvous hashing (highest random weight) assigns the shards to the service's
// member upstreams: only the shards of a leaving upstream move, and about 1/n of
// the shards when one joins, which is the minimum. The weights are the
// upstreams' slots, so load is proportional to capacity.
//
// Assignments are computed, never stored. Every entry host derives the same one
// from the same manifest and placement record, so hosts need to agree only on these
// two records of the log, not on the owner of each of billions of keys. The
// placement record's offset is the epoch.
package placement
