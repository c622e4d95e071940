// Package admin serves the admin API (twirp) of an entry host with a published
// manifest: the current manifest and placement, and the request counts from which
// burn rates are computed. The papayatide command-line tool is its client.
package admin
