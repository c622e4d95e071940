// Package loopback runs a whole papayatide deployment inside one process, on
// loopback ports: a log service stand-in, one target stand-in per upstream and
// entry hosts for each data centre. Failure tests and benchmarks use it to kill,
// pause and restart components. It fakes their interfaces; it does not simulate
// a cluster.
package loopback
