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
}

// Granter gives keys to upstreams and takes them back. Errors wrap the
// sentinel errors of package ownership.
type Granter interface {
	Grant(ctx context.Context, addr string, r ownership.Range, hold time.Duration) error
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
	// releaseTimeout bounds a release, which is answered when the work under
	// way on its keys has ended: at most some two seconds.
	releaseTimeout = 3 * time.Second
)

// control owns what the host believes. All its methods but post run on its
// own goroutine.
type control struct {
	zl      *zap.Logger
	store   metastore.Store
	decoder Decoder
	granter Granter
	views   *view.Holder
	plan    *planner.Planner
	loads   *loadmap.Map
	clock   bootclock.Clock
	// lastRun is when this goroutine last ran.
	lastRun bootclock.Time

	inbox  chan func()
	roster *roster
	// broken holds since when each stream of the log service is lost, backAt
	// when the first of them was regained.
	broken map[metastore.Stream]time.Time
	backAt time.Time
	copy   *relay.Copy
	// changes are the last changes of ownership.
	changes changes
	// planning tells other goroutines whether this host is the planner.
	planning atomic.Bool
	// soleWriter tells them whether it is the only one that writes the
	// ownership stream, which need not be read then.
	soleWriter atomic.Bool
	// eagerAlive reports whether a host that is strong enough to plan
	// follows this one.
	eagerAlive func() bool
}

func newControl(zl *zap.Logger, store metastore.Store, dec Decoder, granter Granter, views *view.Holder, opts planner.Options) *control {
	c := &control{zl: zl, store: store, decoder: dec, granter: granter, views: views, plan: planner.New(opts),
		loads: loadmap.New(), clock: bootclock.Now, inbox: make(chan func(), 256),
		roster: newRoster(zl), broken: map[metastore.Stream]time.Time{}, copy: relay.NewCopy()}
	c.plan.Load = func(service string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		return c.loads.Load(service, owners, time.Now())
	}
	c.plan.Note = c.notePlanner
	c.eagerAlive = func() bool { return false }
	return c
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
	return tickOther
}

func (c *control) tick(ctx context.Context) {
	now := c.clock()
	if c.plan.ShouldGiveWay(now) && c.eagerAlive() {
		c.plan.GiveWay(now)
	}
	c.planning.Store(c.plan.Holding(now))
	c.soleWriter.Store(c.plan.SoleWriter(now))
	_, lost := c.broken[metastore.StreamUpstreams]
	if c.roster.settle(lost, time.Now()) {
		c.publishUpstreams()
	}
	for _, a := range c.plan.Tick(now, c.views.Load()) {
		c.start(ctx, a)
	}
}

// start makes a planner's call and hands its result back.
func (c *control) start(ctx context.Context, a planner.Action) {
	switch a := a.(type) {
	case *planner.Join:
		go func() {
			seat, err := c.store.Join(ctx, c.member(), a.TTL, a.Generation)
			c.post(ctx, func() { c.plan.JoinDone(a, seat, err, c.clock()) })
		}()
	case *planner.Leave:
		go func() {
			if err := c.store.Leave(ctx, c.member()); err != nil {
				c.zl.Info("planner's group not left; the membership lapses", zap.Int("event", events.PlannerSeatLost), ErrorField(err))
			}
		}()
	case *planner.Append:
		go c.append(ctx, a)
	case *planner.Grant:
		go func() {
			gctx, cancel := context.WithTimeout(ctx, grantTimeout)
			err := c.granter.Grant(gctx, a.Addr, a.Range, a.Hold)
			cancel()
			c.post(ctx, func() { c.plan.GrantDone(a, err, c.clock()) })
		}()
	case *planner.Release:
		go func() {
			rctx, cancel := context.WithTimeout(ctx, releaseTimeout)
			token, err := c.granter.Release(rctx, a.Addr, a.Range)
			cancel()
			c.post(ctx, func() { c.plan.ReleaseDone(a, token, err, c.clock()) })
		}()
	}
}

func (c *control) append(ctx context.Context, a *planner.Append) {
	data, err := a.Table.Encode()
	var end int64
	if err == nil {
		end, err = c.store.AppendAt(ctx, metastore.StreamOwnership, a.Table.Service, data, a.At)
	}
	c.post(ctx, func() {
		t := c.plan.AppendDone(a, end, err, c.clock())
		if t == nil {
			return
		}
		c.adoptTable(t)
		c.copy.Apply(relay.Batch{Stream: metastore.StreamOwnership, Next: end,
			Records: []metastore.Record{{Key: t.Service, Value: data, Offset: end - 1}}})
	})
}

func (c *control) member() string { return c.plan.Host() }

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
	return own, []*follower{
		mk(metastore.StreamDesired, atOnce),
		mk(metastore.StreamUpstreams, c.gatherUpstreams),
	}
}

// gatherUpstreams is the pause after a read that returned upstreams' records.
func (c *control) gatherUpstreams() time.Duration {
	if c.planning.Load() {
		return gatherPlanning
	}
	return gatherDirect
}

// readWait is how long the next read of a stream may wait for a record. The
// planner's copy is never known to be older than planningWait, also where it
// was older when the seat came here.
func (c *control) readWait(s metastore.Stream) time.Duration {
	if !c.planning.Load() {
		return directWait
	}
	return min(max(planningWait-c.copy.StreamAge(s, time.Now()), 0), planningWait)
}

// take hands a batch that was read to the control goroutine and returns once
// it was taken in, so that the next read goes on behind it.
func (c *control) take(ctx context.Context, b relay.Batch) {
	done := make(chan struct{})
	c.post(ctx, func() {
		c.apply(b)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// apply takes in the part of a batch that is new.
func (c *control) apply(b relay.Batch) {
	fresh := c.copy.Apply(b)
	if fresh == nil {
		return
	}
	switch b.Stream {
	case metastore.StreamDesired:
		c.applyDesired(fresh.Records)
	case metastore.StreamUpstreams:
		c.applyUpstreams(fresh.Records, fresh.Reset)
	case metastore.StreamOwnership:
		c.plan.StreamEnd(fresh.Next)
		c.applyOwnership(fresh.Records)
	}
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

func (c *control) applyDesired(recs []metastore.Record) {
	for _, rec := range recs {
		if rec.Value == nil {
			continue
		}
		st, err := c.decoder.Desired(rec.Key, rec.Value)
		if err != nil {
			c.zl.Error("desired state refused", zap.Int("event", events.DesiredRefused), zap.Int64("offset", rec.Offset), ErrorField(err))
			continue
		}
		cur := c.views.Load().Desired
		if st == nil || (cur != nil && st.Version <= cur.Version) {
			continue
		}
		c.views.Publish(func(v *view.View) { v.Desired = st })
		c.zl.Info("desired state adopted", zap.Int("event", events.DesiredAdopted), zap.Int64("version", st.Version), zap.Int64("offset", rec.Offset))
	}
}

func (c *control) applyOwnership(recs []metastore.Record) {
	for _, rec := range recs {
		if rec.Value == nil {
			continue
		}
		t, err := ownership.Decode(rec.Value)
		if err != nil {
			c.zl.Error("ownership record refused", zap.Int("event", events.OwnershipRefused), zap.Int64("offset", rec.Offset), ErrorField(err))
			continue
		}
		c.adoptTable(t)
	}
}

func (c *control) adoptTable(t *ownership.Table) {
	cur := c.views.Load().Tables[t.Service]
	if cur != nil && t.Fence <= cur.Fence {
		return
	}
	c.changes.add(cur, t)
	c.views.Publish(func(v *view.View) {
		tables := map[string]*ownership.Table{t.Service: t}
		for name, old := range v.Tables {
			if name != t.Service {
				tables[name] = old
			}
		}
		v.Tables = tables
	})
	c.zl.Info("ownership adopted", zap.Int("event", events.OwnershipAdopted), zap.String("service", t.Service),
		zap.Int64("term", t.Term), zap.Int64("fence", t.Fence), zap.String("planner", t.Planner), zap.Int("ranges", len(t.Ranges)),
		zap.String("cause", t.Cause))
}

// applyUpstreams takes in upstreams' records. After a reset, those that are
// not among them are missing.
func (c *control) applyUpstreams(recs []metastore.Record, reset bool) {
	now := time.Now()
	listed := map[string]bool{}
	for _, rec := range recs {
		if rec.Value == nil {
			c.roster.missing(rec.Key, c.spareUntil(now), now)
			continue
		}
		u, err := c.decoder.Upstream(rec.Key, rec.Value, now)
		if err != nil {
			c.zl.Error("upstream's record refused", zap.Int("event", events.UpstreamRefused), zap.String("peer", rec.Key), ErrorField(err))
			continue
		}
		listed[u.ID] = true
		c.roster.list(u)
	}
	if reset {
		c.roster.missingBut(listed, c.spareUntil(now), now)
	}
	c.publishUpstreams()
}

// spareUntil returns until when an upstream that is missing now is not taken
// for gone; in the past unless the log service has only just come back.
func (c *control) spareUntil(now time.Time) time.Time {
	if _, lost := c.broken[metastore.StreamUpstreams]; lost {
		return now.Add(relist)
	}
	return c.backAt.Add(relist)
}

func (c *control) publishUpstreams() {
	snap := c.roster.snapshot()
	c.views.Publish(func(v *view.View) { v.Upstreams = snap })
}

// leave gives the planner's seat up, so that another host plans at once
// rather than when this one's time to live has run out.
func (c *control) leave(ctx context.Context) {
	c.post(ctx, func() {
		c.plan.Resign()
	})
}
