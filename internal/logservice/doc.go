// Package logservice is papayatide's client of the platform's append-only
// log service: it appends records (optionally compare-and-append at an
// expected offset) and reads streams from an offset. Every error it returns
// names the step and the log service's address.
package logservice
