// Package entryhost runs one entry host on the platform: it follows the log
// service's streams, plans ownership while it holds the planner's seat, and
// serves callers.
//
// One goroutine, in control.go, owns everything the host believes. Followers
// and calls hand it their results as functions; traffic reads the view that
// it publishes.
package entryhost
