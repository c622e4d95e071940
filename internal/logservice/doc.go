// Package logservice is a client of the platform's append-only log service. It
// appends records, optionally only at an expected offset, and reads streams from
// an offset. Its errors name the failed call and the log service's address.
package logservice
