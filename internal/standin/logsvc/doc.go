// Package logsvc is a stand-in for the platform's append-only log service: named
// streams of records with offsets, conditional appends, a retention limit, and
// injectable faults (an outage, slow calls, and appends that take effect but return
// an error). It keeps everything in memory.
package logsvc
