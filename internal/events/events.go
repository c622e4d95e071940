package events

// Events of the daemon with a manifest (papayatided -config FILE). Its manifest
// lists the services and upstreams, which it also calls targets; its placement
// divides the keys among them, as ownership does on the platform.
const (
	// 1xx: process lifecycle.
	Started = 100
	Stopped = 102

	// 2xx: manifests.
	ManifestAdopted  = 200
	ManifestRejected = 201
	// RecordsExpired: records of a stream expired before this host read them.
	RecordsExpired = 202

	// 3xx: placement and grants.
	PlacementAdopted  = 300
	PlacementAppended = 301
	PlacementConflict = 302
	// PlacementOutcomeUnknown: the outcome of appending a proposed placement is unknown.
	PlacementOutcomeUnknown = 303
	GrantFailed             = 304
	UpstreamDown            = 305
	UpstreamUp              = 306
	PlacementRejected       = 307
	HeartbeatFailed         = 308
	HostListFailed          = 309

	// 4xx: traffic.
	ForwardFailed = 400
	// MismatchedResponse: a response does not carry its request's ID.
	MismatchedResponse        = 401
	FingerprintCrashesTargets = 402
	TargetReported            = 403

	// 5xx: the log service.
	LogUnreachable = 500
	LogRecovered   = 501
)

// Events of an entry host on the platform (papayatided entry).
const (
	// 6xx: the host's state and its view of the fleet.
	EntryHostStarted  = 600
	EntryHostStopping = 601
	EntryHostStopped  = 602
	SettingsReloaded  = 603
	SettingsRejected  = 604
	StreamLost        = 610
	StreamRecovered   = 611
	// ReplicaFollowStarted and ReplicaFollowStopped: the host starts or stops reading
	// the planner's replica of the log instead of the log service.
	ReplicaFollowStarted = 612
	ReplicaFollowStopped = 613
	HostStalled          = 614
	LogReturned          = 615
	EntriesUnreliable    = 616
	DesiredAdopted       = 620
	DesiredRejected      = 621
	EvacuationBegun      = 622
	EvacuationEnded      = 623
	DesiredBehind        = 624
	// UpstreamListed and UpstreamUnlisted: the upstream's record has appeared in
	// the upstreams' stream or is gone from it.
	UpstreamListed          = 630
	UpstreamLeaving         = 631
	UpstreamUnlisted        = 632
	UpstreamRecordRejected  = 633
	UpstreamRestarted       = 634
	UpstreamReported        = 635
	UpstreamSilent          = 636
	UpstreamSilentToAll     = 637
	UpstreamConnectionsLost = 638
	UpstreamReadyAgain      = 639
	OwnershipAdopted        = 640
	OwnershipRejected       = 641
	OwnershipChangeRejected = 642
	// UpstreamEntrySuperseded: an entry is older than the newest one of its upstream.
	UpstreamEntrySuperseded = 643
	// UpstreamUnconfirmed and UpstreamHealthChecked: an entry states that a leaving upstream is ready,
	// and what the upstream itself has responded.
	UpstreamUnconfirmed   = 644
	UpstreamHealthChecked = 645
	FingerprintRefused    = 650
	CrashRecordRejected   = 651
	CrashRecordsRead      = 652
	CrashWriteFailed      = 653
	FingerprintCleared    = 654
	LogLinesDropped       = 660
	ClientsLimited        = 661
	// DataCentreUnreachable and DataCentreReachable: none of the upstreams of a data centre
	// responds to this host, or one does again.
	DataCentreUnreachable = 680
	DataCentreReachable   = 681
	// PathsLost and PathsRestored: this host has lost its paths to all upstreams, or reaches some
	// again.
	PathsLost          = 682
	PathsRestored      = 683
	ServiceScarce      = 670
	ServiceScarceEnded = 671

	// 7xx: the planner.
	PlannerLeaseAcquired       = 700
	PlannerLeaseLost           = 701
	PlannerTermStarted         = 702
	PlannerTermEnded           = 703
	OwnershipRecorded          = 704
	OwnershipConflict          = 705
	OwnerLost                  = 706
	GrantRejected              = 707
	ReleaseFailed              = 708
	PreviousPlannerUnreachable = 709
	MoveBlocked                = 710
	MoveAwaitsGrants           = 711

	// 8xx: requests.
	RequestServed  = 800
	RequestRefused = 801
	RequestFailed  = 802
	BrokenSend     = 803
)
