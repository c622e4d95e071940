// Package logsvc is papayatide's stand-in for the platform's append-only log
// service: named streams of records with offsets, compare-and-append, a
// retention limit, and injectable faults (outage, slowness, and an answer
// lost after its write took effect). It keeps everything in memory.
package logsvc
