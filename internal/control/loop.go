package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/hostlist"
	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/membership"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/progress"
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/internal/target"
	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

// Options configure the control loop.
type Options struct {
	// Host is this entry host's name, DataCentre its data centre's.
	Host       string
	DataCentre string
	// PollInterval is how often the log is read.
	PollInterval time.Duration
	// ProbeInterval is how often this host sends grants and probes to local
	// upstreams, besides after each change of manifest or placement; a grant counts
	// as a probe. It is also the timeout of these calls and of reading the host list.
	ProbeInterval time.Duration
	// ProbeFailures is how many consecutive failed probes mark an upstream down.
	ProbeFailures int
	// GrantTTL is how long a grant is valid at the target unless renewed.
	GrantTTL time.Duration
	// SnapshotEvery is how many placement records may follow the last
	// snapshot before this host writes a new one.
	SnapshotEvery int
	// SnapshotInterval is the longest time without a snapshot in the stream.
	// It must be well below the log's retention: a placement that does not
	// change must be restated before its records expire.
	SnapshotInterval time.Duration
	// HeartbeatInterval is how often this host appends a heartbeat.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is how long a host counts as alive after its last heartbeat.
	HeartbeatTimeout time.Duration
	// HostsPerUpstream is how many of a data centre's live entry hosts send
	// grants and probes to each upstream; 0 means all of them.
	HostsPerUpstream int
	// HostList, if set, is read every HostListInterval. An upstream that it
	// lists as leaving is removed from placement like one that is down.
	HostList         *hostlist.Client
	HostListInterval time.Duration
}

// servicePlacement is the current placement of one service in one data centre.
type servicePlacement struct {
	state      placement.State
	assignment *placement.Assignment
	// sinceEpoch maps a member to the oldest epoch whose placement gives it the
	// same shards; it is sent as Grant.Since.
	sinceEpoch map[string]int64
	// handoverUntil maps a shard that changed owner to the time until which the
	// previous owner's grant may be valid.
	handoverUntil map[int]time.Time
}

// Counters of control traffic. scripts/capacity.sh reads them for docs/CAPACITY.md.
var (
	logReads   = metrics.NewCounter(`papayatide_control_messages_total{kind="log_read"}`)
	logAppends = metrics.NewCounter(`papayatide_control_messages_total{kind="log_append"}`)
	probes     = metrics.NewCounter(`papayatide_control_messages_total{kind="probe"}`)
	grants     = metrics.NewCounter(`papayatide_control_messages_total{kind="grant"}`)
	grantBytes = metrics.NewCounter(`papayatide_control_grant_bytes_total`)
)

// Loop is the control loop. Create it with New and run it with Run.
type Loop struct {
	opts      Options
	logClient *logservice.Client
	targets   *target.Client
	logger    *zap.Logger
	table     atomic.Pointer[routing.Table]
	wake      chan struct{}

	// The fields below are accessed only by the goroutine that runs Run.
	manifest             *manifest.Manifest
	manifestOffset       int64
	nextManifestOffset   int64
	nextPlacementOffset  int64
	recordsSinceSnapshot int
	lastSnapshot         time.Time
	// placements and lastProposal are keyed by placement.State.Key.
	placements map[string]*servicePlacement
	// homes holds the result of placement.Homes by service.
	homes map[string][]uint8
	// health is keyed by upstream name.
	health         map[string]*health
	viewAt         time.Time
	logDown        bool
	lastGrantRound time.Time
	lastProposal   map[string]time.Time
	// grantedEpoch maps an upstream to the epoch of the last full grant that it
	// accepted; later rounds at that epoch send only renewals.
	grantedEpoch map[string]int64
	// leaving is the set of target addresses that the platform's host list
	// reports as leaving.
	leaving      map[string]bool
	lastHostList time.Time
	// liveHosts tracks the live entry hosts by their heartbeats.
	liveHosts           *membership.View
	nextHeartbeatOffset int64
	lastHeartbeat       time.Time
}

// New returns a control loop.
func New(opts Options, logClient *logservice.Client, targets *target.Client, logger *zap.Logger) *Loop {
	return &Loop{opts: opts, logClient: logClient, targets: targets, logger: logger, wake: make(chan struct{}, 1),
		manifestOffset: -1, placements: map[string]*servicePlacement{}, homes: map[string][]uint8{},
		health: map[string]*health{}, lastProposal: map[string]time.Time{}, grantedEpoch: map[string]int64{},
		liveHosts: membership.NewView(opts.HeartbeatTimeout.Milliseconds())}
}

// Table returns the current routing table, or nil before the first manifest
// is read. It is safe for concurrent use.
func (l *Loop) Table() *routing.Table { return l.table.Load() }

// Wake makes the loop read the log now, e.g. after a target rejected a stale
// fencing token. It never blocks.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs the loop until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	t := time.NewTicker(l.opts.PollInterval)
	defer t.Stop()
	for {
		l.tick(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-l.wake:
		}
	}
}

// tick runs one round of the loop: it reads the log, sends grants and probes,
// publishes the routing table and appends the records that are due.
func (l *Loop) tick(ctx context.Context, now time.Time) {
	changed, err := l.readLog(ctx)
	l.updateLogStatus(err, now)
	// Send grants before publishing the table: a target must hold the new epoch's
	// grant before requests carry that token. Renew them during a log outage too:
	// no host can change the placement then, and a data centre cut off from the log
	// must keep serving (docs/DESIGN.md, "Grants during a log outage").
	if changed || now.Sub(l.lastGrantRound) >= l.opts.ProbeInterval {
		l.lastGrantRound = now
		l.sendGrants(ctx)
	}
	// Publish after each successful read, even if nothing changed: the table carries
	// the time of that read, from which routers compute the view's age.
	if changed || err == nil {
		l.publish()
	}
	if l.opts.HostList != nil && due(&l.lastHostList, l.opts.HostListInterval, now) {
		l.readHostList(ctx)
	}
	if err != nil {
		return
	}
	if l.manifest != nil {
		l.propose(ctx, now)
		l.appendSnapshotIfDue(ctx, now)
	}
	if due(&l.lastHeartbeat, l.opts.HeartbeatInterval, now) {
		l.appendHeartbeat(ctx)
	}
}

// due reports whether interval has passed since *last, and if so sets *last to now.
func due(last *time.Time, interval time.Duration, now time.Time) bool {
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// updateLogStatus records whether the last read of the log succeeded, and logs
// only changes between reachable and unreachable.
func (l *Loop) updateLogStatus(err error, now time.Time) {
	switch {
	case err != nil && !l.logDown:
		l.logger.Warn("log service unreachable", zap.Int("event", events.LogUnreachable), zap.Error(err))
	case err == nil && l.logDown:
		l.logger.Info("log service reachable again", zap.Int("event", events.LogRecovered))
	}
	l.logDown = err != nil
	if err == nil {
		l.viewAt = now
	}
}

// readTimeoutPolls is the longest time without data during a read of the log, in poll intervals.
const readTimeoutPolls = 5

// readLog reads all streams to their ends and reports whether the manifest or the
// placement changed. The report is valid even if it returns an error. It ends once no data
// has arrived for readTimeoutPolls poll intervals.
func (l *Loop) readLog(ctx context.Context) (bool, error) {
	ctx, cancel := progress.WithTimeout(ctx, l.opts.PollInterval*readTimeoutPolls)
	defer cancel()
	manifestChanged, err := l.readManifests(ctx)
	if err != nil {
		return manifestChanged, err
	}
	placementChanged, err := l.readPlacement(ctx)
	if err != nil {
		return manifestChanged || placementChanged, err
	}
	return manifestChanged || placementChanged, l.readHeartbeats(ctx)
}

// tail reads stream from *next to its end, passes each record to apply and
// advances *next past it. It reports whether apply returned true for any record.
// If records expired before they were read, it logs a warning, because this host
// may have missed changes.
func (l *Loop) tail(ctx context.Context, stream string, next *int64, apply func(*logsvcpb.Record) bool) (bool, error) {
	changed := false
	logReads.Inc()
	onGap := func(first int64) {
		if *next == 0 {
			return // a host that starts expects the oldest records to have expired
		}
		l.logger.Warn("records expired before they were read", zap.Int("event", events.RecordsExpired),
			zap.String("stream", stream), zap.Int64("from", *next), zap.Int64("first", first))
	}
	var err error
	*next, err = l.logClient.Scan(ctx, stream, *next, onGap, func(rec *logsvcpb.Record) { changed = apply(rec) || changed })
	return changed, err
}

func (l *Loop) readManifests(ctx context.Context) (bool, error) {
	return l.tail(ctx, logservice.StreamManifests, &l.nextManifestOffset, func(rec *logsvcpb.Record) bool {
		m, err := manifest.Parse(rec.Data)
		if err != nil {
			l.logger.Warn("manifest rejected", zap.Int("event", events.ManifestRejected), zap.Int64("offset", rec.Offset), zap.Error(err))
			return false
		}
		l.adoptManifest(m, rec.Offset)
		return true
	})
}

// adoptManifest makes m the current manifest and recomputes all assignments.
func (l *Loop) adoptManifest(m *manifest.Manifest, offset int64) {
	l.manifest, l.manifestOffset = m, offset
	// New weights in a manifest change shard lists without a new epoch, so every
	// upstream needs a full grant again.
	clear(l.grantedEpoch)
	l.homes = map[string][]uint8{}
	for i := range m.Services {
		l.homes[m.Services[i].Name] = placement.Homes(&m.Services[i], m.DataCentres)
	}
	for _, p := range l.placements {
		l.reassign(p, p.state)
	}
	l.logger.Info("manifest adopted", zap.Int("event", events.ManifestAdopted), zap.Int64("offset", offset), zap.Stringer("manifest", m))
}
