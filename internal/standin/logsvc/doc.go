// Package logsvc is a stand-in for the append-only log service of deployments with
// published manifests. It serves the twirp API of rpc/logsvcpb, whose client is package
// logservice: named streams of records with offsets, conditional appends and a retention
// limit. Faults can be injected: an outage, slow calls, and appends that take effect but
// return an error. Everything is kept in memory.
//
// Package memstore is the stand-in for the log service that `papayatided entry` uses.
package logsvc
