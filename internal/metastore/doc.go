// Package metastore defines what papayatide needs from the platform's log
// service: streams of keyed records that can be followed, appended to under
// a condition, and a group whose one seat elects the planner.
//
// The platform adapter and the in-memory stand-in both satisfy Store.
package metastore
