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
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/internal/target"
	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

// Options shape the control loop.
type Options struct {
	// Host and DataCentre name this entry host.
	Host       string
	DataCentre string
	// PollInterval is how often the log is read.
	PollInterval time.Duration
	// ProbeInterval is how often local upstreams are probed.
	ProbeInterval time.Duration
	// ProbeFailures is how many failed probes in a row mark an upstream down.
	ProbeFailures int
	// GrantTTL is how long a grant holds at the target unless renewed.
	GrantTTL time.Duration
	// SnapshotEvery is how many placement records may follow the last
	// snapshot before this host writes a new one.
	SnapshotEvery int
	// SnapshotInterval is the longest time without a snapshot in the
	// stream; it must be well under the log's retention, so that a quiet
	// placement is restated before its records age out.
	SnapshotInterval time.Duration
	// HeartbeatInterval is how often this host appends a heartbeat.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is how long a host counts as alive after its last heartbeat.
	HeartbeatTimeout time.Duration
	// RenewersPerUpstream is how many of a data centre's live entry hosts grant and
	// probe each upstream; 0 means all of them.
	RenewersPerUpstream int
	// HostList, when set, is read every HostListInterval; an upstream it
	// lists as leaving is taken out of placement like a failed one.
	HostList         *hostlist.Client
	HostListInterval time.Duration
}

// dcState is the placement in force for one (service, data centre).
type dcState struct {
	state         placement.State
	assignment    *placement.Assignment
	sinceEpoch    map[string]int64
	handoverUntil map[int]time.Time
}

// Control-traffic counters, read by scripts/capacity.sh for docs/CAPACITY.md.
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

	// Everything below is owned by the Run goroutine.
	manifest             *manifest.Manifest
	manifestOffset       int64
	nextManifest         int64
	nextPlacement        int64
	recordsSinceSnapshot int
	lastSnapshot         time.Time
	states               map[string]*dcState
	homes                map[string][]uint8
	health               map[string]*health
	viewAt               time.Time
	logDown              bool
	lastProbe            time.Time
	lastProposal         map[string]time.Time
	// grantedEpoch maps an upstream to the epoch of the last full grant it
	// accepted; later rounds at that epoch send only a renewal.
	grantedEpoch map[string]int64
	// leaving are target addresses the platform's host list says are
	// leaving.
	leaving      map[string]bool
	lastHostList time.Time
	// liveHosts is the view of live entry hosts, from heartbeats.
	liveHosts     *membership.View
	nextHeartbeat int64
	lastHeartbeat time.Time
}

// New returns a control loop.
func New(opts Options, logc *logservice.Client, targets *target.Client, zl *zap.Logger) *Loop {
	return &Loop{opts: opts, logClient: logc, targets: targets, logger: zl, wake: make(chan struct{}, 1),
		manifestOffset: -1, states: map[string]*dcState{}, homes: map[string][]uint8{},
		health: map[string]*health{}, lastProposal: map[string]time.Time{}, grantedEpoch: map[string]int64{},
		liveHosts: membership.NewView(opts.HeartbeatTimeout.Milliseconds())}
}

// Table returns the routing table in force, or nil before the first
// manifest is read. Safe from any goroutine.
func (l *Loop) Table() *routing.Table { return l.table.Load() }

// Wake asks the loop to read the log now, e.g. after a target refused a
// stale fencing token. It never blocks.
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

func (l *Loop) tick(ctx context.Context, now time.Time) {
	changed, err := l.readLog(ctx)
	l.updateLogStatus(err, now)
	// Grants go out before the table that routes by them, so a target
	// holds the new epoch's grant before this host sends it that token.
	// They are renewed through a log outage too: no one can change the
	// placement while the log is down, and a data centre cut off from it
	// must keep serving (docs/DESIGN.md, "Grants during a log outage").
	// A member's answer to its grant is its health probe; upstreams that
	// are not members get a plain probe at the same pace.
	if changed || now.Sub(l.lastProbe) >= l.opts.ProbeInterval {
		l.lastProbe = now
		l.sendGrants(ctx)
	}
	// A successful read refreshes the view's age even when nothing changed.
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

// due reports whether every has passed since *last, and if so sets *last
// to now.
func due(last *time.Time, every time.Duration, now time.Time) bool {
	if now.Sub(*last) < every {
		return false
	}
	*last = now
	return true
}

// updateLogStatus records whether the last read of the log succeeded, logging
// only the changes between reachable and unreachable.
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

func (l *Loop) readLog(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.PollInterval*5)
	defer cancel()
	m, err := l.readManifests(ctx)
	if err != nil {
		return m, err
	}
	p, err := l.readPlacement(ctx)
	if err != nil {
		return m || p, err
	}
	return m || p, l.readHeartbeats(ctx)
}

// tail reads stream from *next to its end, a page at a time, passes each
// record to apply and advances *next past it. It reports whether apply
// returned true for any record. Records lost to retention before they were
// read are logged, since a host that far behind may have missed state.
func (l *Loop) tail(ctx context.Context, stream string, next *int64, apply func(*logsvcpb.Record) bool) (bool, error) {
	changed := false
	logReads.Inc()
	gap := func(first int64) {
		if *next == 0 {
			return // a host that starts late expects to find the beginning gone
		}
		l.logger.Warn("records passed retention unread", zap.Int("event", events.RecordsGap),
			zap.String("stream", stream), zap.Int64("from", *next), zap.Int64("first", first))
	}
	var err error
	*next, err = l.logClient.Scan(ctx, stream, *next, gap, func(rec *logsvcpb.Record) { changed = apply(rec) || changed })
	return changed, err
}

func (l *Loop) readManifests(ctx context.Context) (bool, error) {
	return l.tail(ctx, logservice.StreamManifests, &l.nextManifest, func(rec *logsvcpb.Record) bool {
		m, err := manifest.Parse(rec.Data)
		if err != nil {
			l.logger.Warn("manifest refused", zap.Int("event", events.ManifestRejected), zap.Int64("offset", rec.Offset), zap.Error(err))
			return false
		}
		l.adoptManifest(m, rec.Offset)
		return true
	})
}

func (l *Loop) adoptManifest(m *manifest.Manifest, offset int64) {
	l.manifest, l.manifestOffset = m, offset
	// A manifest can change shard lists without a new epoch (new weights),
	// so every upstream gets a full grant again.
	clear(l.grantedEpoch)
	l.homes = map[string][]uint8{}
	for i := range m.Services {
		l.homes[m.Services[i].Name] = placement.Homes(&m.Services[i], m.DataCentres)
	}
	for _, st := range l.states {
		l.reassign(st, st.state)
	}
	l.logger.Info("manifest adopted", zap.Int("event", events.ManifestAdopted), zap.Int64("offset", offset), zap.Stringer("manifest", m))
}
