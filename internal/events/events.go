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
	ForwardFailed      = 400
	CrossedAnswer      = 401
	ContentEndsTargets = 402
	TargetReported     = 403

	// 5xx: the log service.
	LogUnreachable = 500
	LogRecovered   = 501
)

// Events of an entry host on the platform.
const (
	// 6xx: what the host believes.
	EntryStarted           = 600
	EntryStopping          = 601
	EntryStopped           = 602
	SettingsReloaded       = 603
	SettingsRefused        = 604
	StreamLost             = 610
	StreamRegained         = 611
	PlannerFollowed        = 612
	PlannerUnfollowed      = 613
	HostStalled            = 614
	DesiredAdopted         = 620
	DesiredRefused         = 621
	EvacuationBegun        = 622
	EvacuationEnded        = 623
	UpstreamListed         = 630
	UpstreamLeaving        = 631
	UpstreamUnlisted       = 632
	UpstreamRefused        = 633
	UpstreamRestarted      = 634
	UpstreamReported       = 635
	OwnershipAdopted       = 640
	OwnershipRefused       = 641
	OwnershipChangeRefused = 642
	ContentRefused         = 650
	CrashRefused           = 651
	CrashesRead            = 652
	CrashesNotWritten      = 653
	ContentCleared         = 654
	LinesDropped           = 660

	// 7xx: the planner.
	PlannerSeatTaken   = 700
	PlannerSeatLost    = 701
	PlannerTermStarted = 702
	PlannerTermEnded   = 703
	OwnershipRecorded  = 704
	OwnershipConflict  = 705
	OwnerLost          = 706
	GrantRefused       = 707
	ReleaseFailed      = 708
	PlannerNotRetired  = 709

	// 8xx: requests.
	RequestServed  = 800
	RequestRefused = 801
	RequestFailed  = 802
	SendBrokeOff   = 803
)
