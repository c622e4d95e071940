package events

// Event numbers. Numbers are never reused; retired ones stay in docs/EVENTS.md.
const (
	// 1xx: process lifecycle.
	Started = 100
	Stopped = 102

	// 2xx: manifests.
	ManifestAdopted  = 200
	ManifestRejected = 201
	RecordsGap       = 202

	// 3xx: placement and grants.
	PlacementAdopted  = 300
	PlacementProposed = 301
	PlacementConflict = 302
	PlacementUnknown  = 303
	GrantFailed       = 304
	UpstreamDown      = 305
	UpstreamUp        = 306
	PlacementRejected = 307
	HeartbeatFailed   = 308
	HostListFailed    = 309

	// 4xx: traffic.
	ForwardFailed = 400
	CrossedAnswer = 401

	// 5xx: the log service.
	LogUnreachable = 500
	LogRecovered   = 501
)
