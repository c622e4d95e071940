// Package loopback starts a whole papayatide path inside one process, on
// loopback ports: a log-service stand-in, one target stand-in per upstream
// and entry hosts per data centre. Failure tests and benchmarks use it to
// kill, pause and restart parts; it is a small fake at the interfaces, not
// a cluster simulator.
package loopback
