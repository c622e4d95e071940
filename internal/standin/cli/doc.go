// Package cli implements the command papayatide-standin, which runs stand-ins for the
// servers that papayatide uses (log service, host list, targets) as processes.
package cli
