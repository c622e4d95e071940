// Package loopback runs a whole deployment of a published manifest inside one process,
// on loopback ports. Entry hosts run the real daemon; the log service, the host list
// and the targets, one per upstream, are stand-ins. Failure tests and benchmarks use it
// to kill, pause and restart components. It simulates neither the machines of a cluster
// nor the network between data centres.
package loopback
