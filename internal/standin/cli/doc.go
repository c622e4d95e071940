// Package cli holds the command line of papayatide-standin, which runs the
// stand-ins for the platform's peers (log service, targets) as processes.
package cli
