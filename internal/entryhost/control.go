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
	"github.com/papayatide/papayatide/internal/keyload"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/internal/view"
)

// Decoder reads the platform's records into the product's types.
type Decoder interface {
	// Desired returns nil for records that are not the desired state.
	Desired(key string, data []byte) (*desired.State, error)
	Upstream(id string, data []byte, now time.Time) (*catalogue.Upstream, error)
	// EvacuatedDataCentre returns the data centre that a record of the desired state's
	// stream with the given key evacuates, and whether it is such a record.
	EvacuatedDataCentre(key string) (dataCentre string, ok bool)
}

// Granter gives keys to upstreams and takes them back. Errors wrap the
// sentinel errors of package ownership.
type Granter interface {
	// Grant goes over a connection that is open already, if kept is set.
	Grant(ctx context.Context, addr string, r ownership.Range, hold time.Duration, kept bool) error
	Release(ctx context.Context, addr string, r ownership.Range) (handover string, err error)
}

const (
	// plannerTickInterval and tickOther are the pauses between looks at what is due,
	// of the planner and of the other hosts.
	plannerTickInterval  = 40 * time.Millisecond
	followerTickInterval = 200 * time.Millisecond
	// minTickInterval is the least pause between two looks.
	minTickInterval = 10 * time.Millisecond
	// grantTimeout bounds a grant; an undisturbed answer takes 3 ms.
	grantTimeout = 300 * time.Millisecond
	// maxGrantSendDelay is how long after it was decided on a grant may be sent. The
	// proofs count on its arrival within that time: sent a second late by a host
	// that had no processor, it kept keys at an owner whose lease was taken to have
	// run out, while another had them already.
	maxGrantSendDelay = 100 * time.Millisecond
	// retireTimeout bounds a question to the planner before.
	retireTimeout = 300 * time.Millisecond
	// releaseTimeout bounds a release, which is answered when the work under
	// way on its keys has ended: at most some two seconds.
	releaseTimeout = 3 * time.Second
)

// Retirer asks the planner before this one to send no more grants.
type Retirer interface {
	// Retire returns the name of the host at addr and whether it sends no
	// grant of a term before the given one any more.
	Retire(ctx context.Context, addr, service string, term int64) (host string, retired bool, err error)
}

// controller owns what the host believes. All its methods but post run on its
// own goroutine.
type controller struct {
	zl      *zap.Logger
	store   metastore.Store
	decoder Decoder
	granter Granter
	elector *plannerElector
	retirer Retirer
	views   *view.Publisher
	planner *planner.Planner
	loads   *keyload.Estimator
	clock   bootclock.Clock
	// lastRun is when this goroutine last ran.
	lastRun bootclock.Time

	inbox    chan func()
	registry *upstreamRegistry
	// evacuations are the data centres that operators have evacuated.
	evacuations *evacuations
	// crashes is handed what is read of servers' ends.
	crashes *crashLog
	// streamLostSince holds since when each stream of the log service is lost, backAt
	// when the first of them was regained.
	streamLostSince map[metastore.Stream]time.Time
	logRecoveredAt  time.Time
	replica         *relay.Replica
	// feedback is what upstreams report of themselves, drain the time from such a
	// report of leaving to the last request.
	feedback     *feedback.Tracker
	drainTimeout time.Duration
	// rejectionLoggedAt is when a refused upstream's record was last logged,
	// refusedUntold how many were not since.
	rejectionLoggedAt  time.Time
	rejectionsUnlogged int
	// ownershipHistory are the last changes of ownership.
	ownershipHistory ownershipHistory
	// candidate hosts are strong enough to plan and to relay.
	candidate bool
	// isPlanner tells other goroutines whether this host is the planner.
	isPlanner atomic.Bool
	// soleWriter tells them whether it is the only one that writes the
	// ownership stream, which need not be read then.
	soleWriter atomic.Bool
	// candidateAlive reports whether a host that is strong enough to plan
	// follows this one.
	candidateAlive func() bool
}

func newController(zl *zap.Logger, store metastore.Store, dec Decoder, granter Granter, views *view.Publisher, opts planner.Options,
	evacuateBound time.Duration) *controller {
	c := &controller{zl: zl, store: store, decoder: dec, granter: granter, views: views, planner: planner.New(opts), candidate: opts.Candidate,
		elector: newPlannerElector(store, opts.Host), loads: keyload.New(), clock: bootclock.Now, inbox: make(chan func(), 256),
		registry: newUpstreamRegistry(zl), evacuations: newEvacuations(evacuateBound), streamLostSince: map[metastore.Stream]time.Time{}, replica: relay.NewReplica(), feedback: feedback.NewTracker()}
	c.planner.Load = func(service string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		load, samples := c.loads.Load(service, owners, time.Now())
		if samples > 0 { // before, capacities are not in requests a second
			applyReportedLimits(&load, owners, c.feedback, time.Now())
		}
		return load, samples
	}
	c.planner.OnEvent = c.logPlannerEvent
	c.planner.Cold = c.isCold
	c.candidateAlive = func() bool { return false }
	return c
}

// isCold reports whether an upstream is in its slow start and bears only so many
// requests meanwhile.
func (c *controller) isCold(u *catalogue.Upstream) bool {
	return c.slowStart(u.Service).PerSecond > 0 && u.Cold(time.Now())
}

// slowStart returns that of a service's upstreams.
func (c *controller) slowStart(service string) desired.SlowStart {
	st := c.views.Load().Desired
	if st == nil || st.Services[service] == nil {
		return desired.SlowStart{}
	}
	return st.Services[service].SlowStart
}

// post hands a function to the control goroutine.
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
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.inbox:
			c.detectStall()
			f()
			c.drainInbox()
			// What arrived is looked at soon, but a stream of events does
			// not make for a tick each: a planner with dozens of moves
			// under way spent its whole processor share on them.
			t.Reset(max(minTickInterval-time.Since(last), 0))
		case <-t.C:
			last = time.Now()
			c.detectStall()
			c.tick(ctx)
			t.Reset(c.nextTickDelay())
		}
	}
}

// stalled is how long this goroutine must not have run for the host to have
// stood still: undisturbed it runs every tickOther.
const stallThreshold = time.Second

// detectStall notes that the host stood still. What the log service went
// through meanwhile is unknown: a host that slept through an outage found the
// upstreams' lapsed entries missing, took all of them for gone, and moved
// every key.
func (c *controller) detectStall() {
	now := c.clock()
	if stood := now.Sub(c.lastRun); c.lastRun != 0 && stood > stallThreshold {
		c.logRecoveredAt = time.Now()
		c.replica.RecordLogFailure(c.logRecoveredAt)
		c.zl.Warn("host stood still", zap.Int("event", events.HostStalled), zap.Duration("age", stood))
	}
	c.lastRun = now
}

// drainInbox runs what else has arrived, so that a burst costs one tick.
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

func (c *controller) nextTickDelay() time.Duration {
	if c.planner.HoldsLease(c.clock()) {
		return plannerTickInterval
	}
	if _, lost := c.streamLostSince[metastore.StreamUpstreams]; lost {
		return followerTickInterval // no suspect is taken for gone meanwhile
	}
	return max(min(followerTickInterval, c.registry.untilNextExpiry(time.Now())), minTickInterval)
}

func (c *controller) tick(ctx context.Context) {
	now := c.clock()
	if c.planner.ShouldStepDown(now) && c.candidateAlive() {
		c.planner.StepDown(now)
	}
	c.isPlanner.Store(c.planner.HoldsLease(now))
	c.soleWriter.Store(c.planner.SoleWriter(now))
	_, lost := c.streamLostSince[metastore.StreamUpstreams]
	wall := time.Now()
	settled := c.registry.expireSuspects(lost, wall)
	if c.evacuations.confirmEntriesRead(c.replica.CurrentAt(metastore.StreamUpstreams), wall) || settled {
		c.publishUpstreams()
	}
	for _, a := range c.planner.Tick(now, c.views.Load()) {
		c.execute(ctx, a)
	}
}

// newStreamReaders returns the readers of the log service's streams, that of the
// ownership stream by itself.
func (c *controller) newStreamReaders(ctx context.Context) (own *streamReader, rest []*streamReader) {
	h := &logHealth{}
	mk := func(s metastore.Stream, gather func() time.Duration) *streamReader {
		return &streamReader{store: c.store, stream: s, batchDelay: gather, replica: c.replica, maxWait: func() time.Duration { return c.longPollWait(s) }, health: h,
			isProbe:  s == metastore.StreamUpstreams,
			apply:    func(b relay.Batch) { c.applyAndWait(ctx, b) },
			onResult: func(err error) { c.post(ctx, func() { c.onStreamResult(s, err) }) }}
	}
	atOnce := func() time.Duration { return 0 }
	own = mk(metastore.StreamOwnership, atOnce)
	own.skip = c.soleWriter.Load
	ends := mk(metastore.StreamCrashes, c.crashBatchDelay)
	ends.startDelay = c.crashReadStartDelay
	return own, []*streamReader{
		mk(metastore.StreamDesired, atOnce),
		mk(metastore.StreamUpstreams, c.upstreamBatchDelay),
		ends,
	}
}

// crashReadStartDelay is the pause before servers' ends are read from the log service
// itself. A host that has just started mostly finds a planner meanwhile, whose
// copy carries them; the planner, and a host that has lost it, wait for nothing.
func (c *controller) crashReadStartDelay() time.Duration {
	if c.isPlanner.Load() || c.replica.NextOffset(metastore.StreamCrashes) >= 0 {
		return 0
	}
	return firstStartDiscoveryTimeout
}

// crashBatchDelay is the pause after a read that returned servers' ends. One record
// of them is acted on within seconds, and while many servers end every host
// writes some: read one by one, a cut cost each host hundreds of calls.
func (c *controller) crashBatchDelay() time.Duration {
	if c.isPlanner.Load() {
		return crashBatchDelayPlanner
	}
	return crashBatchDelayDirect
}

// upstreamBatchDelay is the pause after a read that returned upstreams' records.
func (c *controller) upstreamBatchDelay() time.Duration {
	if c.isPlanner.Load() {
		return upstreamBatchDelayPlanner
	}
	return upstreamBatchDelayDirect
}

// longPollWait is how long the next read of a stream may wait for a record. The copy
// of the planner, and of the strong hosts that others go on to follow when it is
// lost, is never known to be older than planningWait, also where it was older
// when the seat came here.
func (c *controller) longPollWait(s metastore.Stream) time.Duration {
	if !(c.isPlanner.Load() || c.candidate) || s == metastore.StreamCrashes {
		return directLongPoll // the age of the planner's copy does not count it
	}
	return min(max(plannerLongPoll-time.Since(c.replica.CurrentAt(s)), 0), plannerLongPoll)
}

// wasCut is for how long the planner must have reached the log service for a
// break that this host saw to be its own: no outage, in which entries lapse.
const minLogReachableFor = 4 * time.Second

// onPlannerFollowed notes that the planner's copy is relied on, so that what
// this host knows of the log service itself no longer counts. If the log
// service never failed the planner, the upstreams that are missing have left,
// also where this host saw no sign of it: after a cut it sent requests to
// upstreams that had left ten seconds before.
func (c *controller) onPlannerFollowed(steady time.Duration) {
	for s := range c.streamLostSince {
		c.onStreamResult(s, nil)
	}
	c.planner.PlannerSeen(c.clock())
	if steady < minLogReachableFor {
		return
	}
	c.logRecoveredAt = time.Time{}
	if c.registry.unlistSuspects(time.Now()) {
		c.publishUpstreams()
	}
}

// onStreamResult logs the loss and return of a stream.
func (c *controller) onStreamResult(s metastore.Stream, err error) {
	since, was := c.streamLostSince[s]
	if err != nil {
		c.replica.RecordLogFailure(time.Now())
	}
	switch {
	case err != nil && !was:
		c.streamLostSince[s] = time.Now()
		c.zl.Warn("log service's stream lost", zap.Int("event", events.StreamLost), zap.String("stream", string(s)), ErrorField(err))
	case err == nil && was:
		delete(c.streamLostSince, s)
		c.planner.LogReconnected(c.clock())
		if now := time.Now(); now.Sub(c.logRecoveredAt) > relistGracePeriod {
			c.logRecoveredAt = now
		}
		c.zl.Info("log service's stream regained", zap.Int("event", events.StreamRecovered), zap.String("stream", string(s)),
			zap.Duration("lost_for", time.Since(since)))
	}
}

// resign gives the planner's seat up, so that another host plans at once
// rather than when this one's time to live has run out.
func (c *controller) resign(ctx context.Context) {
	c.post(ctx, func() {
		c.planner.Resign()
	})
}
