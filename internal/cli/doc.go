// Package cli is the papayatide operator command line (cobra): publish a
// manifest with a guard against racing operators, show the status of entry
// hosts, drain an upstream for a planned stop, and report service-level burn.
package cli
