// Package admin serves the admin API (twirp) of an entry host with a published
// manifest: the manifest and placement in force, and counts for burn rates. The
// papayatide command-line tool is its client.
package admin
