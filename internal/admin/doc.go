// Package admin serves the entry host's admin API (twirp) that the
// papayatide command-line tool reads: the manifest and placement in force.
package admin
