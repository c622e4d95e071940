// Package target is papayatide's client of the target servers (upstreams):
// it forwards callers' requests with the fencing token, shard, idempotency
// key and deadline, sends fenced grants, and probes health. The header
// names here are the contract between papayatide and a target.
package target
