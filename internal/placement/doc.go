// Package placement decides which upstream owns each key.
//
// Keys hash (xxhash) into a fixed number of shards per service, and shards
// go to the service's member upstreams by weighted rendezvous hashing
// (highest random weight). Rendezvous hashing moves only the shards of an
// upstream that leaves, and only about 1/n of the shards when one joins,
// which keeps churn at its floor; weighting by slots keeps load in
// proportion to what each upstream can serve.
//
// An Assignment is computed, never stored: every entry host derives the same
// one from the same placement record, so agreement needs only the record's
// offset in the log (the epoch), not a copy of 2.4 billion key owners.
package placement
