// Package cli implements the command papayatide-standin, which runs the stand-ins
// for the platform's peers (log service, host list, targets) as processes.
package cli
