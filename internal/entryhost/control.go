package entryhost

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/keyload"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
)

// Decoder decodes the platform's records into this module's types.
type Decoder interface {
	// Desired returns nil if the record is not the desired state.
	Desired(key string, data []byte) (*desired.State, error)
	Upstream(id string, data []byte, now time.Time) (*catalogue.Upstream, error)
	// EvacuatedDataCentre returns the data centre that the record with the
	// given key evacuates. ok is false for other records of the desired state's
	// stream.
	EvacuatedDataCentre(key string) (dataCentre string, ok bool)
}

const (
	// plannerTickInterval and followerTickInterval are the control loop's
	// intervals on the planner and on the other hosts.
	plannerTickInterval  = 40 * time.Millisecond
	followerTickInterval = 200 * time.Millisecond
	// minTickInterval is the shortest interval between two ticks.
	minTickInterval = 10 * time.Millisecond
	// grantTimeout bounds the time from the decision on a grant to the end of its
	// call, which normally takes 3 ms.
	grantTimeout = 300 * time.Millisecond
	// maxGrantSendDelay is the longest delay between the decision on a grant
	// and its sending, which the planner's bound on the grant's expiry assumes.
	// Without the check, a host short of CPU time sends a grant a second late,
	// and an owner holds keys after another one has received them.
	maxGrantSendDelay = 100 * time.Millisecond
	// retireTimeout bounds a retire call to a previous planner.
	retireTimeout = 300 * time.Millisecond
	// releaseTimeout bounds a release call. The upstream responds once its
	// work in flight on the keys has ended, after at most about two seconds.
	releaseTimeout = 3 * time.Second
)

// controller owns the host's state: desired state, upstreams, ownership and the
// planner. Its fields belong to the control goroutine (see run). Other
// goroutines use post, the atomic fields, and the fields whose types are safe
// for concurrent use.
type controller struct {
	zl *zap.Logger
	// store is the client of the log service.
	store   metastore.Store
	decoder Decoder
	granter Granter
	elector *plannerElector
	retirer Retirer
	views   *view.Publisher
	planner *planner.Planner
	loads   *keyload.Estimator
	clock   bootclock.Clock
	// lastRun is when the control goroutine last ran.
	lastRun bootclock.Time

	// inbox holds the functions to run on the control goroutine.
	inbox       chan func()
	registry    *upstreamRegistry
	evacuations *evacuations
	// crashes shares crash records with the other hosts through the log.
	crashes *crashLog
	// desiredRecord is the record of the desired state in force.
	desiredRecord metastore.Record
	// era is the log's; 0 until the log service or another host states it.
	era int64
	// streamLostSince holds, for each stream whose reads fail, when they began
	// to. logRecoveredAt is when the first stream recovered after an outage of
	// the log service, or when this host last stalled. It is zero if the
	// planner reports that there was no outage.
	streamLostSince map[metastore.Stream]time.Time
	logRecoveredAt  time.Time
	replica         *relay.Replica
	// feedback holds what upstreams report about themselves. drainTimeout is
	// the time after an upstream's report that it is leaving from which on no
	// request may reach it.
	feedback     *feedback.Tracker
	drainTimeout time.Duration
	// rejectionLoggedAt is when a rejected upstream record was last logged,
	// rejectionsSuppressed how many such log lines were suppressed since.
	rejectionLoggedAt    time.Time
	rejectionsSuppressed int
	ownershipHistory     ownershipHistory
	// candidate is set if this host's CPU and link suffice for the planner; see
	// the package comment.
	candidate bool
	// isPlanner is set while this host holds the planner lease.
	isPlanner atomic.Bool
	// soleWriter is set while only this host writes the ownership stream, which
	// then needs no reading.
	soleWriter atomic.Bool
	// startedAt is when this host started.
	startedAt time.Time
	// healthCheck sends a health check to the path at an upstream.
	healthCheck func(ctx context.Context, t upstream.Target, path string) (upstream.Health, error)
	// requestIdleTimeouts are those that upstreams state in their responses to requests.
	requestIdleTimeouts *upstream.IdleTimeouts
	// onGap is called after a time in which this host observed no upstream, with its start and end.
	onGap func(from, to time.Time)
	// onLogFailing is called with whether the last read of upstreams' entries failed.
	onLogFailing func(failing bool)
	// onEntriesRead is called when entriesReadUntil has changed, with the new time.
	onEntriesRead func(until time.Time)
	entriesRead   time.Time
	// cutOff reports whether this host has lost its paths to all upstreams. onGrantFailed is called
	// when an upstream has not responded to a grant that this host sent itself.
	cutOff        func() bool
	onGrantFailed func(ctx context.Context, owner string)
	// grantHelpers returns the hosts that can send grants for this one, by relayGrantTo.
	grantHelpers func() []fleet.Host
	helperChoice helperChoice
	relayGrantTo func(ctx context.Context, helper string, g peer.RelayedGrant) (handoverToken string, err error)
	// hasLiveCandidate reports whether another host that is a candidate has
	// called this one recently, which it does while it follows this host.
	hasLiveCandidate func() bool
}

func newController(zl *zap.Logger, store metastore.Store, dec Decoder, granter Granter, views *view.Publisher, opts planner.Options,
	evacuationTimeout time.Duration) *controller {
	c := &controller{zl: zl, store: store, decoder: dec, granter: granter, views: views, planner: planner.New(opts), candidate: opts.Candidate,
		elector: newPlannerElector(store, opts.Host), loads: keyload.New(), clock: bootclock.Now, inbox: make(chan func(), 256),
		registry: newUpstreamRegistry(zl), evacuations: newEvacuations(evacuationTimeout), streamLostSince: map[metastore.Stream]time.Time{}, replica: relay.NewReplica(), feedback: feedback.NewTracker()}
	c.planner.Load = func(service string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		load, samples := c.loads.Load(service, owners, time.Now())
		if samples > 0 { // without samples, capacities are not in requests per second
			applyReportedLimits(&load, owners, c.feedback, time.Now())
		}
		return load, samples
	}
	c.planner.OnEvent = c.logPlannerEvent
	c.planner.Cold, c.planner.IdleTimeout = c.isCold, c.upstreamIdleTimeout
	c.startedAt, c.requestIdleTimeouts = time.Now(), &upstream.IdleTimeouts{}
	c.hasLiveCandidate = func() bool { return false }
	c.healthCheck = func(context.Context, upstream.Target, string) (upstream.Health, error) {
		return upstream.Unsupported, nil
	}
	c.cutOff, c.grantHelpers, c.onGrantFailed = func() bool { return false }, func() []fleet.Host { return nil }, func(context.Context, string) {}
	c.onEntriesRead, c.onGap, c.onLogFailing = func(time.Time) {}, func(_, _ time.Time) {}, func(bool) {}
	return c
}

// isCold reports whether an upstream is in its slow start and its service has a
// rate limit for that time.
func (c *controller) isCold(u *catalogue.Upstream) bool {
	return c.slowStart(u.Service).PerSecond > 0 && u.Cold(time.Now())
}

// slowStart returns the slow start settings of a service's upstreams.
func (c *controller) slowStart(service string) desired.SlowStart {
	st := c.views.Load().Desired
	if st == nil || st.Services[service] == nil {
		return desired.SlowStart{}
	}
	return st.Services[service].SlowStart
}

// post queues f to run on the control goroutine, and blocks while the queue is
// full.
func (c *controller) post(ctx context.Context, f func()) {
	select {
	case c.inbox <- f:
	case <-ctx.Done():
	}
}

// run runs the control loop until ctx ends.
func (c *controller) run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	var lastTick time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.inbox:
			c.detectStall()
			f()
			c.drainInbox()
			// Tick soon after an event, but not once for each event: a
			// planner with dozens of moves in progress would spend all
			// of its CPU time on ticks.
			t.Reset(max(minTickInterval-time.Since(lastTick), 0))
		case <-t.C:
			lastTick = time.Now()
			c.detectStall()
			c.tick(ctx)
			t.Reset(c.nextTickDelay())
		}
	}
}

// drainInbox runs all queued functions, so that a burst costs one tick.
func (c *controller) drainInbox() {
	for {
		select {
		case f := <-c.inbox:
			f()
		default:
			return
		}
	}
}

// nextTickDelay returns the delay until the next tick.
func (c *controller) nextTickDelay() time.Duration {
	if c.planner.IsPlanner(c.clock()) {
		return plannerTickInterval
	}
	if _, lost := c.streamLostSince[metastore.StreamUpstreams]; lost {
		return followerTickInterval // suspects don't expire during an outage
	}
	return max(min(followerTickInterval, c.registry.untilNextDeadline(time.Now())), minTickInterval)
}

// tick unlists suspects whose grace period has ended and executes the planner's
// due actions.
func (c *controller) tick(ctx context.Context) {
	now := c.clock()
	c.observeEra(c.store.Era())
	if c.planner.ShouldStepDown(now) && c.hasLiveCandidate() {
		c.planner.StepDown(now)
	}
	c.isPlanner.Store(c.planner.IsPlanner(now))
	c.soleWriter.Store(c.planner.SoleWriter(now) && c.holdsOwnershipStream())
	_, lost := c.streamLostSince[metastore.StreamUpstreams]
	wallNow := time.Now()
	expired := c.registry.expireSuspects(lost, wallNow)
	ended := c.endMissingEvacuations(wallNow)
	if until := c.entriesReadUntil(); !until.Equal(c.entriesRead) {
		c.entriesRead = until
		c.onEntriesRead(until)
	}
	for _, u := range c.registry.dueChecks(wallNow) {
		go c.checkHealth(ctx, u)
	}
	if c.evacuations.confirmEntriesRead(c.entriesRead, wallNow) || expired || ended {
		c.publishUpstreams()
	}
	c.planner.ObserveLog(len(c.streamLostSince) == 0)
	if c.isPlanner.Load() {
		c.planner.ObservePaths(c.cutOff(), len(c.grantHelpers()) > 0)
	}
	for _, a := range c.planner.Tick(now, c.views.Load()) {
		c.execute(ctx, a)
	}
}

// newStreamReaders returns the reader of the ownership stream and those of the
// other streams.
func (c *controller) newStreamReaders(ctx context.Context) (ownershipReader *streamReader, others []*streamReader) {
	health := &logHealth{}
	newReader := func(s metastore.Stream, batchDelay func() time.Duration) *streamReader {
		return &streamReader{store: c.store, stream: s, batchDelay: batchDelay, replica: c.replica, maxWait: func() time.Duration { return c.longPollWait(s) }, health: health,
			isRecoveryReader: s == metastore.StreamUpstreams,
			apply:            func(b relay.Batch) { c.applyAndWait(ctx, b) },
			onResult:         func(err error) { c.post(ctx, func() { c.onStreamResult(s, err) }) }}
	}
	noDelay := func() time.Duration { return 0 }
	ownershipReader = newReader(metastore.StreamOwnership, noDelay)
	ownershipReader.skip = c.soleWriter.Load
	crashReader := newReader(metastore.StreamCrashes, c.crashBatchDelay)
	crashReader.startDelay = c.crashReadStartDelay
	return ownershipReader, []*streamReader{
		newReader(metastore.StreamOperators, noDelay),
		newReader(metastore.StreamUpstreams, c.upstreamBatchDelay),
		crashReader,
	}
}

// crashReadStartDelay returns the delay before the first direct read of the
// crash stream. A host that has just started, at the fleet's first start or
// later, usually finds a planner meanwhile, whose replica contains the stream.
// The planner, and a host that has read the stream before, read at once.
func (c *controller) crashReadStartDelay() time.Duration {
	if c.isPlanner.Load() || c.replica.Next(metastore.StreamCrashes).Offset >= 0 {
		return 0
	}
	return firstStartDiscoveryTimeout
}

// crashBatchDelay returns the delay after a read that returned crash records. A
// crash record may take seconds to have effect, and while many servers crash
// every host writes some: without the delay, a network partition costs each host
// hundreds of calls.
func (c *controller) crashBatchDelay() time.Duration {
	if c.isPlanner.Load() {
		return plannerCrashBatchDelay
	}
	return defaultCrashBatchDelay
}

// upstreamBatchDelay returns the delay after a read that returned upstream
// records.
func (c *controller) upstreamBatchDelay() time.Duration {
	if c.isPlanner.Load() {
		return plannerUpstreamBatchDelay
	}
	return defaultUpstreamBatchDelay
}

// longPollWait returns how long the next read of a stream may wait for a record. On the
// planner and the candidates, one of which may succeed it, the replica must not grow older
// than plannerLongPoll: the wait shrinks by its age. A replica that is older already, because
// the followed host has failed or because reads failed, is read without a wait.
func (c *controller) longPollWait(s metastore.Stream) time.Duration {
	if !(c.isPlanner.Load() || c.candidate) || s == metastore.StreamCrashes {
		return defaultLongPoll // a replica's age does not include the crash stream
	}
	return min(max(plannerLongPoll-time.Since(c.replica.CurrentAt(s)), 0), plannerLongPoll)
}

// minLogReachableFor is how long the planner must have reached the log service
// without failure for this host's read failures to be attributed to its own
// connection rather than to an outage of the service. Upstreams' entries then
// have not expired because of an outage.
const minLogReachableFor = 4 * time.Second

// onPlannerFollowed handles a successful call to the planner or its relay, whose replica
// replaces this host's failed reads. If the log service has not failed the planner, missing
// upstreams have left, even if this host read no record of that. Without this, a host that
// reconnects after a network partition sends requests to upstreams that left 10 s before.
func (c *controller) onPlannerFollowed(logReachableFor time.Duration) {
	for s := range c.streamLostSince {
		c.onStreamResult(s, nil)
	}
	c.planner.PlannerSeen(c.clock())
	if logReachableFor < minLogReachableFor {
		return
	}
	c.logRecoveredAt = time.Time{}
	if c.registry.unlistSuspects(time.Now()) {
		c.publishUpstreams()
	}
}

// onStreamResult records the result of a stream read. It logs when reads begin
// to fail and when they succeed again.
func (c *controller) onStreamResult(s metastore.Stream, err error) {
	since, wasLost := c.streamLostSince[s]
	if s == metastore.StreamUpstreams {
		c.onLogFailing(err != nil)
	}
	if err != nil {
		c.replica.RecordLogFailure(time.Now())
	}
	switch {
	case err != nil && !wasLost:
		c.streamLostSince[s] = time.Now()
		c.zl.Warn("reading a log stream failed", zap.Int("event", events.StreamLost), zap.String("stream", string(s)), ErrorField(err))
	case err == nil && wasLost:
		delete(c.streamLostSince, s)
		c.planner.LogReconnected(c.clock())
		if now := time.Now(); now.Sub(c.logRecoveredAt) > relistGracePeriod {
			c.logRecoveredAt = now
		}
		if s == metastore.StreamUpstreams {
			c.detectUnreliableStart()
		}
		c.zl.Info("log stream readable again", zap.Int("event", events.StreamRecovered), zap.String("stream", string(s)),
			zap.Duration("lost_for", time.Since(since)))
	}
}

// beginShutdown has the planner leave the election, so that another host gets the lease at
// once and not only when it expires.
func (c *controller) beginShutdown(ctx context.Context) {
	c.post(ctx, func() {
		c.planner.BeginShutdown()
	})
}
