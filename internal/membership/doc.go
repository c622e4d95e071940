// Package membership tracks which entry hosts are alive, from heartbeats
// they append to the log service's entryhosts stream. Liveness is judged by
// the log's own record timestamps, compared with the newest record seen, so
// entry hosts' clocks never enter into it.
package membership
