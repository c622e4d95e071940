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
	"github.com/papayatide/papayatide/internal/loadmap"
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
	// Evacuated returns the data centre that a record of the desired state's
	// stream with the given key evacuates, and whether it is such a record.
	Evacuated(key string) (dataCentre string, ok bool)
}

// Granter gives keys to upstreams and takes them back. Errors wrap the
// sentinel errors of package ownership.
type Granter interface {
	// Grant goes over a connection that is open already, if kept is set.
	Grant(ctx context.Context, addr string, r ownership.Range, hold time.Duration, kept bool) error
	Release(ctx context.Context, addr string, r ownership.Range) (handover string, err error)
}

const (
	// tickHolder and tickOther are the pauses between looks at what is due,
	// of the planner and of the other hosts.
	tickHolder = 40 * time.Millisecond
	tickOther  = 200 * time.Millisecond
	// tickLeast is the least pause between two looks.
	tickLeast = 10 * time.Millisecond
	// grantTimeout bounds a grant; an undisturbed answer takes 3 ms.
	grantTimeout = 300 * time.Millisecond
	// orderWithin is how long after it was decided on a grant may be sent. The
	// proofs count on its arrival within that time: sent a second late by a host
	// that had no processor, it kept keys at an owner whose lease was taken to have
	// run out, while another had them already.
	orderWithin = 100 * time.Millisecond
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

// control owns what the host believes. All its methods but post run on its
// own goroutine.
type control struct {
	zl      *zap.Logger
	store   metastore.Store
	decoder Decoder
	granter Granter
	seats   *seatSeeker
	retirer Retirer
	views   *view.Holder
	plan    *planner.Planner
	loads   *loadmap.Map
	clock   bootclock.Clock
	// lastRun is when this goroutine last ran.
	lastRun bootclock.Time

	inbox  chan func()
	roster *roster
	// evacuations are the data centres that operators have evacuated.
	evacuations *evacuations
	// crashes is handed what is read of servers' ends.
	crashes *crashLog
	// broken holds since when each stream of the log service is lost, backAt
	// when the first of them was regained.
	broken map[metastore.Stream]time.Time
	backAt time.Time
	copy   *relay.Copy
	// feedback is what upstreams report of themselves, drain the time from such a
	// report of leaving to the last request.
	feedback *feedback.Tracker
	drain    time.Duration
	// refusedAt is when a refused upstream's record was last logged,
	// refusedUntold how many were not since.
	refusedAt     time.Time
	refusedUntold int
	// changes are the last changes of ownership.
	changes changes
	// eager hosts are strong enough to plan and to relay.
	eager bool
	// planning tells other goroutines whether this host is the planner.
	planning atomic.Bool
	// soleWriter tells them whether it is the only one that writes the
	// ownership stream, which need not be read then.
	soleWriter atomic.Bool
	// eagerAlive reports whether a host that is strong enough to plan
	// follows this one.
	eagerAlive func() bool
}

func newControl(zl *zap.Logger, store metastore.Store, dec Decoder, granter Granter, views *view.Holder, opts planner.Options,
	evacuateBound time.Duration) *control {
	c := &control{zl: zl, store: store, decoder: dec, granter: granter, views: views, plan: planner.New(opts), eager: opts.Eager,
		seats: newSeatSeeker(store, opts.Host), loads: loadmap.New(), clock: bootclock.Now, inbox: make(chan func(), 256),
		roster: newRoster(zl), evacuations: newEvacuations(evacuateBound), broken: map[metastore.Stream]time.Time{}, copy: relay.NewCopy(), feedback: feedback.NewTracker()}
	c.plan.Load = func(service string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		load, samples := c.loads.Load(service, owners, time.Now())
		if samples > 0 { // before, capacities are not in requests a second
			withinReports(&load, owners, c.feedback, time.Now())
		}
		return load, samples
	}
	c.plan.Note = c.notePlanner
	c.plan.Cold = c.cold
	c.eagerAlive = func() bool { return false }
	return c
}

// cold reports whether an upstream is in its slow start and bears only so many
// requests meanwhile.
func (c *control) cold(u *catalogue.Upstream) bool {
	return c.slowStart(u.Service).PerSecond > 0 && u.Cold(time.Now())
}

// slowStart returns that of a service's upstreams.
func (c *control) slowStart(service string) desired.SlowStart {
	st := c.views.Load().Desired
	if st == nil || st.Services[service] == nil {
		return desired.SlowStart{}
	}
	return st.Services[service].SlowStart
}

// post hands a function to the control goroutine.
func (c *control) post(ctx context.Context, f func()) {
	select {
	case c.inbox <- f:
	case <-ctx.Done():
	}
}

// run runs the control loop until ctx ends.
func (c *control) run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.inbox:
			c.watchStall()
			f()
			c.drainInbox()
			// What arrived is looked at soon, but a stream of events does
			// not make for a tick each: a planner with dozens of moves
			// under way spent its whole processor share on them.
			t.Reset(max(tickLeast-time.Since(last), 0))
		case <-t.C:
			last = time.Now()
			c.watchStall()
			c.tick(ctx)
			t.Reset(c.pause())
		}
	}
}

// stalled is how long this goroutine must not have run for the host to have
// stood still: undisturbed it runs every tickOther.
const stalled = time.Second

// watchStall notes that the host stood still. What the log service went
// through meanwhile is unknown: a host that slept through an outage found the
// upstreams' lapsed entries missing, took all of them for gone, and moved
// every key.
func (c *control) watchStall() {
	now := c.clock()
	if stood := now.Sub(c.lastRun); c.lastRun != 0 && stood > stalled {
		c.backAt = time.Now()
		c.copy.Broken(c.backAt)
		c.zl.Warn("host stood still", zap.Int("event", events.HostStalled), zap.Duration("age", stood))
	}
	c.lastRun = now
}

// drainInbox runs what else has arrived, so that a burst costs one tick.
func (c *control) drainInbox() {
	for {
		select {
		case f := <-c.inbox:
			f()
		default:
			return
		}
	}
}

func (c *control) pause() time.Duration {
	if c.plan.Holding(c.clock()) {
		return tickHolder
	}
	if _, lost := c.broken[metastore.StreamUpstreams]; lost {
		return tickOther // no suspect is taken for gone meanwhile
	}
	return max(min(tickOther, c.roster.due(time.Now())), tickLeast)
}

func (c *control) tick(ctx context.Context) {
	now := c.clock()
	if c.plan.ShouldGiveWay(now) && c.eagerAlive() {
		c.plan.GiveWay(now)
	}
	c.planning.Store(c.plan.Holding(now))
	c.soleWriter.Store(c.plan.SoleWriter(now))
	_, lost := c.broken[metastore.StreamUpstreams]
	wall := time.Now()
	settled := c.roster.settle(lost, wall)
	if c.evacuations.confirm(c.copy.CurrentAt(metastore.StreamUpstreams), wall) || settled {
		c.publishUpstreams()
	}
	for _, a := range c.plan.Tick(now, c.views.Load()) {
		c.start(ctx, a)
	}
}

// followers returns the readers of the log service's streams, that of the
// ownership stream by itself.
func (c *control) followers(ctx context.Context) (own *follower, rest []*follower) {
	h := &health{}
	mk := func(s metastore.Stream, gather func() time.Duration) *follower {
		return &follower{store: c.store, stream: s, gather: gather, copy: c.copy, wait: func() time.Duration { return c.readWait(s) }, health: h,
			lead:   s == metastore.StreamUpstreams,
			apply:  func(b relay.Batch) { c.take(ctx, b) },
			failed: func(err error) { c.post(ctx, func() { c.noteStream(s, err) }) }}
	}
	atOnce := func() time.Duration { return 0 }
	own = mk(metastore.StreamOwnership, atOnce)
	own.idle = c.soleWriter.Load
	ends := mk(metastore.StreamCrashes, c.gatherEnds)
	ends.delay = c.beforeCrashes
	return own, []*follower{
		mk(metastore.StreamDesired, atOnce),
		mk(metastore.StreamUpstreams, c.gatherUpstreams),
		ends,
	}
}

// beforeCrashes is the pause before servers' ends are read from the log service
// itself. A host that has just started mostly finds a planner meanwhile, whose
// copy carries them; the planner, and a host that has lost it, wait for nothing.
func (c *control) beforeCrashes() time.Duration {
	if c.planning.Load() || c.copy.Next(metastore.StreamCrashes) >= 0 {
		return 0
	}
	return firstStartAlone
}

// gatherEnds is the pause after a read that returned servers' ends. One record
// of them is acted on within seconds, and while many servers end every host
// writes some: read one by one, a cut cost each host hundreds of calls.
func (c *control) gatherEnds() time.Duration {
	if c.planning.Load() {
		return gatherEndsPlanning
	}
	return gatherEndsDirect
}

// gatherUpstreams is the pause after a read that returned upstreams' records.
func (c *control) gatherUpstreams() time.Duration {
	if c.planning.Load() {
		return gatherPlanning
	}
	return gatherDirect
}

// readWait is how long the next read of a stream may wait for a record. The copy
// of the planner, and of the strong hosts that others go on to follow when it is
// lost, is never known to be older than planningWait, also where it was older
// when the seat came here.
func (c *control) readWait(s metastore.Stream) time.Duration {
	if !(c.planning.Load() || c.eager) || s == metastore.StreamCrashes {
		return directWait // the age of the planner's copy does not count it
	}
	return min(max(planningWait-time.Since(c.copy.CurrentAt(s)), 0), planningWait)
}

// wasCut is for how long the planner must have reached the log service for a
// break that this host saw to be its own: no outage, in which entries lapse.
const wasCut = 4 * time.Second

// followedPlanner notes that the planner's copy is relied on, so that what
// this host knows of the log service itself no longer counts. If the log
// service never failed the planner, the upstreams that are missing have left,
// also where this host saw no sign of it: after a cut it sent requests to
// upstreams that had left ten seconds before.
func (c *control) followedPlanner(steady time.Duration) {
	for s := range c.broken {
		c.noteStream(s, nil)
	}
	c.plan.PlannerSeen(c.clock())
	if steady < wasCut {
		return
	}
	c.backAt = time.Time{}
	if c.roster.noOutage(time.Now()) {
		c.publishUpstreams()
	}
}

// noteStream logs the loss and return of a stream.
func (c *control) noteStream(s metastore.Stream, err error) {
	since, was := c.broken[s]
	if err != nil {
		c.copy.Broken(time.Now())
	}
	switch {
	case err != nil && !was:
		c.broken[s] = time.Now()
		c.zl.Warn("log service's stream lost", zap.Int("event", events.StreamLost), zap.String("stream", string(s)), ErrorField(err))
	case err == nil && was:
		delete(c.broken, s)
		c.plan.LogRegained(c.clock())
		if now := time.Now(); now.Sub(c.backAt) > relist {
			c.backAt = now
		}
		c.zl.Info("log service's stream regained", zap.Int("event", events.StreamRegained), zap.String("stream", string(s)),
			zap.Duration("lost_for", time.Since(since)))
	}
}

// leave gives the planner's seat up, so that another host plans at once
// rather than when this one's time to live has run out.
func (c *control) leave(ctx context.Context) {
	c.post(ctx, func() {
		c.plan.Resign()
	})
}
