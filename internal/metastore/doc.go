// Package metastore defines the interface to the platform's log service that
// papayatide needs: streams of keyed records that can be read as they grow and
// appended to, conditionally or not, and the election of the planner by a lease.
//
// The platform adapter and the in-memory stand-in for tests implement Store.
package metastore
