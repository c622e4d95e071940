package entryhost

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/relay"
)

const (
	// followWait is how long a call to the planner waits for something new.
	// Load is reported with each call, and a burst on a few keys is to be
	// answered within a second.
	followWait = 300 * time.Millisecond
	// followTimeout bounds such a call; a planner that does not answer in
	// time is taken for lost and the log service is read directly.
	followTimeout = followWait + 400*time.Millisecond
	// relayFollowTimeout is followTimeout of a call to a relay, which is in this
	// host's data centre: undisturbed it answers in a millisecond.
	relayFollowTimeout = followWait + 250*time.Millisecond
	// relayFollowWait is followWait of a host that relays: what it passes on is so
	// much older.
	relayFollowWait = 200 * time.Millisecond
	// maxReplicaAge is the greatest age of the planner's copy that is relied on.
	// With followTimeout it leaves a host behind the log by at most 1.8 s
	// before it reads for itself; relayedAge is that of a relay's copy, with
	// which and relayTimeout it is 1.8 s too. A change must be in force, and an
	// upstream that leaves left alone, within 2 s.
	maxReplicaAge        = 1100 * time.Millisecond
	maxRelayedReplicaAge = 1250 * time.Millisecond
	// directReadAge is the age of what this host knows from which on it reads
	// every stream itself, if it does not find the planner again; it leaves
	// 0.5 s for that.
	directReadAge = 1500 * time.Millisecond
	// discoveryTimeout is how long a weak host that knows nothing looks for a planner
	// before it reads every stream itself: one that plans already answers within
	// a tenth of a second, and without one callers wait. At the first start of
	// the fleet there are no callers yet, and a planner takes a second or two. A
	// strong host reads at once: it may have to plan.
	discoveryTimeout           = 300 * time.Millisecond
	firstStartDiscoveryTimeout = 3 * time.Second
	// plannerRetryInterval is the pause between calls while the planner is unknown,
	// this host itself, or does not answer.
	plannerRetryInterval = 150 * time.Millisecond
	// While the host that is followed answers, but with too old a copy, the log
	// service mostly fails all of them. A weak host asks it once then, as it may
	// be the only one that is served; if it fails, all weak hosts together ask
	// triesPerSecond times a second from then on, each at least every tryMost.
	fleetAttemptsPerSecond = 10
	maxAttemptInterval     = 2500 * time.Millisecond
)

// logSyncer keeps the copy of the log current: from the planner's copy, or that
// of a relay, where it is young enough, from the log service otherwise.
type logSyncer struct {
	peers   *peer.Client
	replica *relay.Replica
	// ownershipReader reads the ownership stream, which says who plans; rest are
	// the readers of the others.
	ownershipReader *streamReader
	otherReaders    []*streamReader
	// isPlanner reports whether this host plans.
	isPlanner func() bool
	// self describes this host to the others.
	self  func() fleet.Host
	fleet *fleet.Fleet
	// picker reports what this host has at upstreams, and learns of the others.
	picker *balance.Picker
	// feedback is what upstreams report of themselves.
	feedback *feedback.Tracker
	// plannerAddr returns the planner's peer address; empty if there is none
	// or it is this host.
	plannerAddr func() string
	// takeLoads returns the load to report, localLoads uses it on the
	// planner itself.
	takeLoads  func() []peer.ServiceLoad
	applyLoads func([]peer.ServiceLoad)
	apply      func(relay.Batch)
	// onPlannerFollowed is told that a call to the planner was good, and for how long
	// the planner has reached the log service.
	onPlannerFollowed func(steady time.Duration)
	// onPlannerLost is told of a call that failed, seen of a strong host that answers
	// without a young copy.
	onPlannerLost, onCandidateSeen func()
	zl                             *zap.Logger

	// discoveryTimeout is for how long a weak host looks for a planner first.
	discoveryTimeout time.Duration
	// startedAt is when run began, failed whether the last call failed.
	startedAt        time.Time
	lastFollowFailed bool
	// followedReplicaStale is set while the host that is followed answers with a copy that is
	// too old, or that it has none.
	followedReplicaStale bool
	// attempts are this host's own reads while oldCopy is set.
	attempts readAttempts
	// wasPlanner is planning as of the last look.
	wasPlanner bool
	// directReadCtx is that of the readers at work, nil while there are none;
	// restAtWork is set once those of rest are among them.
	directReadCtx       context.Context
	cancelDirectReads   context.CancelFunc
	otherReadersRunning bool
	// directReadsStartedAt is when they began, reading whether there are any.
	directReadsStartedAt time.Time
	readingDirectly      atomic.Bool
	// following holds the address of the host whose copy is relied on, a
	// string; empty or nil if there is none.
	following atomic.Value
	// relayAddr is the host that relays the copy of the planner at relayOf.
	relayAddr, relayPlannerAddr string
	// lastPlannerStatus is the last answer of the planner itself; see standing.
	lastPlannerStatus atomic.Pointer[plannerStatus]
}

// plannerStatus is what the planner said of its copy.
type plannerStatus struct {
	receivedAt                  time.Time
	replicaAge, logReachableFor time.Duration
}

// run keeps the copy current until ctx ends.
func (f *logSyncer) run(ctx context.Context) {
	f.startedAt = time.Now()
	f.startDirectReads(ctx)
	for ctx.Err() == nil {
		f.restartReadersOnPromotion()
		if f.follow(ctx) {
			f.stopDirectReads()
			continue
		}
		f.readFromLog(ctx)
		sleep(ctx, plannerRetryInterval)
	}
	f.stopDirectReads()
}

// readFromLog has this host read the log service, if it is one of those that
// should.
func (f *logSyncer) readFromLog(ctx context.Context) {
	if f.self().Candidate || f.isPlanner() || !f.followedReplicaStale || f.replica.NextOffset(metastore.StreamDesired) < 0 {
		f.startDirectReads(ctx)
		return
	}
	if f.directReadCtx != nil && f.attempts.failedSince(f.directReadsStartedAt) {
		f.stopDirectReads()
		return
	}
	if f.directReadCtx != nil {
		f.startDirectReads(ctx) // the streams that were young enough may not be any more
		return
	}
	f.onCandidateSeen() // a host that is strong enough to plan answers, if without a copy
	switch f.attempts.next(time.Now(), f.fleet.Size(time.Now())) {
	case attemptNow:
		go func() { f.attempts.finish(f.otherReaders[attemptStreamIndex].readOnce(ctx)) }()
	case attemptSucceeded:
		f.startDirectReads(ctx)
	}
}

// follow makes one call to the planner, or to the relay of its copy, and
// reports whether the answer can be relied on.
func (f *logSyncer) follow(ctx context.Context) bool {
	planner := f.plannerAddr()
	loads := f.takeLoads()
	if planner == "" {
		f.applyLoads(loads)
		f.setFollowed("", 0, nil)
		return false
	}
	if f.relayAddr != "" && f.relayPlannerAddr == planner {
		if f.followHost(ctx, f.relayAddr, maxRelayedReplicaAge, relayFollowTimeout, loads) {
			return true
		}
		loads = nil
	}
	f.relayAddr, f.relayPlannerAddr = "", planner
	return f.followHost(ctx, planner, maxReplicaAge, followTimeout, loads)
}

// followHost makes one call and takes the answer in. It reports whether it can be
// relied on: it must come within timeout and not be older than oldest.
func (f *logSyncer) followHost(ctx context.Context, addr string, oldest, timeout time.Duration, loads []peer.ServiceLoad) bool {
	q := peer.FollowRequest{Self: f.self(), Positions: map[metastore.Stream]int64{}, Loads: loads, Notices: f.feedback.Notices(time.Now()), Wait: followWait}
	relays := q.Self.Followers > 0
	if relays {
		q.Wait = relayFollowWait
	} else {
		q.LoadStats, q.Subset = f.picker.FlushLoadStats(), f.picker.Subset() // a relay's own are in its own sum
	}
	for _, s := range relay.Streams {
		q.Positions[s] = f.replica.FetchOffset(s)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	got, err := f.peers.Follow(ctx, addr, q)
	f.lastFollowFailed = err != nil
	if err != nil {
		f.followedReplicaStale = errors.Is(err, peer.ErrNoReplica)
		f.onPlannerLost()
		f.setFollowed("", 0, err)
		return false
	}
	for _, b := range got.Batches {
		f.apply(b)
	}
	for _, s := range relay.Streams {
		f.replica.MarkCurrent(s, time.Now().Add(-got.Age))
	}
	if addr == f.relayPlannerAddr && f.relayAddr == "" {
		f.lastPlannerStatus.Store(&plannerStatus{receivedAt: time.Now(), replicaAge: got.Age, logReachableFor: got.LogReachableFor})
		f.relayAddr = got.Relay
	}
	f.fleet.SetPlannerSize(got.HostCount)
	f.feedback.Merge(addr, got.Notices, time.Now())
	if !relays {
		f.picker.SetPeerLoads(got.PeerLoads, time.Now())
	}
	if f.followedReplicaStale = got.Age > oldest; f.followedReplicaStale {
		f.setFollowed("", got.Age, nil)
		return false
	}
	f.setFollowed(addr, got.Age, nil)
	f.attempts.reset()
	f.onPlannerFollowed(got.LogReachableFor)
	return true
}

// replicaStatus is the standing of this host's copy where it follows the planner
// itself, or reads the log service: a relay whose planner was lost goes on with
// what it reads, and those behind it need not read it all themselves. The
// planner's steadiness is passed on as it was, without the time since: that it
// reached the log service then says nothing of now.
func (f *logSyncer) replicaStatus(now time.Time) (peer.ReplicaStatus, bool) {
	if h := f.lastPlannerStatus.Load(); h != nil {
		if age := h.replicaAge + now.Sub(h.receivedAt); age <= maxRelayedReplicaAge {
			return peer.ReplicaStatus{Age: age, LogReachableFor: h.logReachableFor}, true
		}
	}
	if age := f.replica.Age(now); f.readingDirectly.Load() && age <= maxRelayedReplicaAge {
		return peer.ReplicaStatus{Age: age, LogReachableFor: f.replica.LogReachableFor(now)}, true
	}
	return peer.ReplicaStatus{}, false
}

// followedAddr returns the address of the host whose copy is relied on, if any.
func (f *logSyncer) followedAddr() string {
	addr, _ := f.following.Load().(string)
	return addr
}

// setFollowed logs that another planner's copy is relied on, or none any more.
func (f *logSyncer) setFollowed(addr string, age time.Duration, err error) {
	old := f.followedAddr()
	if addr == old {
		return
	}
	if addr != "" {
		f.zl.Info("planner's copy of the log followed", zap.Int("event", events.PlannerFollowed), zap.String("planner", addr), zap.Duration("age", age))
	} else {
		f.zl.Info("planner's copy of the log left", zap.Int("event", events.PlannerUnfollowed), zap.String("planner", old),
			zap.Duration("age", age), ErrorField(err))
	}
	f.following.Store(addr)
}

// restartReadersOnPromotion has the readers begin anew when this host gets the planner's
// seat. Their reads under way wait longer than the planner's: its copy would
// look too old to the others, who would all read the log service.
func (f *logSyncer) restartReadersOnPromotion() {
	now := f.isPlanner()
	if now && !f.wasPlanner {
		f.stopDirectReads()
	}
	f.wasPlanner = now
}

// startDirectReads has the log service read: the ownership stream at once, as it says
// who plans now, the others once they must be.
func (f *logSyncer) startDirectReads(ctx context.Context) {
	if f.directReadCtx == nil {
		f.directReadCtx, f.cancelDirectReads = context.WithCancel(ctx)
		f.directReadsStartedAt = time.Now()
		f.readingDirectly.Store(true)
		go f.ownershipReader.run(f.directReadCtx)
	}
	if f.otherReadersRunning || !f.shouldReadOtherStreams(time.Now()) {
		return
	}
	f.otherReadersRunning = true
	for _, fl := range f.otherReaders {
		go fl.run(f.directReadCtx)
	}
}

// shouldReadOtherStreams reports whether the streams other than ownership have to be read
// directly. After a change of planner most hosts find the new one before they
// have to: a change costs one or two calls a host instead of six.
func (f *logSyncer) shouldReadOtherStreams(now time.Time) bool {
	switch {
	case f.isPlanner() || f.self().Candidate:
		return true // others follow it, or will
	case f.replica.NextOffset(metastore.StreamDesired) < 0:
		return f.lastFollowFailed || now.Sub(f.startedAt) > f.discoveryTimeout
	}
	return f.replica.Age(now) > directReadAge
}

// stopDirectReads ends reading the log service.
func (f *logSyncer) stopDirectReads() {
	if f.directReadCtx != nil {
		f.cancelDirectReads()
		f.directReadCtx, f.otherReadersRunning = nil, false
		f.readingDirectly.Store(false)
	}
}
