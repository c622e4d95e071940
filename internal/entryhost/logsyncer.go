package entryhost

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/progress"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/internal/worktime"
)

const (
	// followWait is how long a call to the planner waits for new records. Each
	// call also carries a load summary, and the planner must react within a
	// second to a burst on a few keys.
	followWait = 300 * time.Millisecond
	// followTimeout bounds such a call until its reply begins, and between the reply's parts;
	// see package progress. A planner that does not reply in time counts as lost, and the host
	// reads the log service directly.
	followTimeout = followWait + 400*time.Millisecond
	// relayFollowTimeout bounds a call to a relay. It is shorter than
	// followTimeout because the relay is in this host's data centre and
	// normally replies within a millisecond.
	relayFollowTimeout = followWait + 250*time.Millisecond
	// relayFollowWait replaces followWait on a relay, whose followers receive
	// records later by its own wait.
	relayFollowWait = 200 * time.Millisecond
	// maxReplicaAge and maxRelayedReplicaAge are the greatest usable ages of
	// the planner's and a relay's replica. With the follow timeouts they bound
	// a host's lag to 1.8 s before it reads the log itself: changes must be in
	// force, and leaving upstreams avoided, within 2 s.
	maxReplicaAge        = 1100 * time.Millisecond
	maxRelayedReplicaAge = 1250 * time.Millisecond
	// directReadAge is the age of this host's replica from which on it reads
	// all streams directly, unless it finds the planner again. It leaves 0.5 s
	// to catch up.
	directReadAge = 1500 * time.Millisecond
	// defaultDiscoveryTimeout is how long a host that is no candidate and has
	// read nothing yet looks for a planner before it reads all streams directly.
	// An existing planner replies within 0.1 s, and without one callers wait. A
	// candidate reads at once, because it may have to be the planner.
	defaultDiscoveryTimeout = 300 * time.Millisecond
	// firstStartDiscoveryTimeout replaces defaultDiscoveryTimeout at the fleet's
	// first start: there are no callers yet, and a planner takes one or two
	// seconds to appear. At every start it is also the delay of the crash
	// stream's first direct read; see crashReadStartDelay.
	firstStartDiscoveryTimeout = 3 * time.Second
	// plannerRetryInterval is the pause between calls while no planner is
	// known, this host is the planner, or the planner does not reply.
	plannerRetryInterval = 150 * time.Millisecond
	// While the followed host's replica is too old, the log service usually fails all hosts. A
	// host that is no candidate then only probes it with single reads. It sends the first at once,
	// because the service may still respond to this host. After that it sends one per
	// maxProbeInterval on average, or more often in a small fleet, whose hosts together send about
	// fleetProbesPerSecond.
	fleetProbesPerSecond = 10
	maxProbeInterval     = 2500 * time.Millisecond
)

var (
	followLatency  = metrics.NewHistogram(`papayatide_follow_duration_seconds`)
	followFailures = metrics.NewCounter(`papayatide_follow_failures_total`)
)

// logSyncer keeps this host's replica of the log current. It follows the
// planner or a relay while their replica is recent enough, and otherwise reads
// the log service.
type logSyncer struct {
	peers   *peer.Client
	replica *relay.Replica
	// ownershipReader reads the ownership stream, which names the planner.
	// otherReaders read the other streams.
	ownershipReader *streamReader
	otherReaders    []*streamReader
	// isPlanner reports whether this host is the planner.
	isPlanner func() bool
	// self describes this host to the hosts that it calls.
	self  func() fleet.Host
	fleet *fleet.Fleet
	// picker supplies this host's load statistics of upstreams, and receives
	// those of the other hosts.
	picker *balance.Picker
	// shares supplies this host's demand by class, and receives its shares.
	shares *serviceShares
	// feedback holds what upstreams report about themselves, which hosts
	// exchange as notices.
	feedback *feedback.Tracker
	// plannerAddr returns the planner's peer address (host:port). It is empty
	// if no planner is known or it is this host.
	plannerAddr func() string
	// takeKeyLoads returns the load summary to send and starts a new one.
	// applyKeyLoads processes it locally if this host is the planner or knows
	// none.
	takeKeyLoads  func() []peer.ServiceLoad
	applyKeyLoads func([]peer.ServiceLoad)
	// onSpeeds receives the speeds of upstreams in each reply.
	onSpeeds func([]worktime.Speed)
	// apply updates this host's state, replica included, from a batch.
	apply func(relay.Batch)
	// desiredVersion returns the version of the desired state in force; onDesiredVersion
	// receives that of the followed host.
	desiredVersion   func() int64
	onDesiredVersion func(host string, version int64)
	// clock is this host's clock. helpers returns the hosts that serve its requests while it reaches
	// no upstream, onHelpers replaces them. onNoPlanner is called while this host follows none.
	clock       bootclock.Clock
	helpers     func() []string
	onHelpers   func([]string)
	onNoPlanner func()
	// refetchDesired has the next call fetch the operators' stream as a whole, because the
	// followed host has a newer desired state in force at a position that this host has reached.
	refetchDesired bool
	refetchedAt    time.Time
	// onPlannerFollowed is called after a successful call, with the time for
	// which the planner has reached the log service without failure.
	onPlannerFollowed func(logReachableFor time.Duration)
	// onFollowFailed is called after a failed call, also one to a relay or to a
	// host that replied that its replica is not current (peer.ErrReplicaNotCurrent).
	// onStaleReplica is called on a host that is no candidate while the followed
	// host replies so, or its replica is too old.
	onFollowFailed, onStaleReplica func()
	zl                             *zap.Logger

	// discoveryTimeout is defaultDiscoveryTimeout, or at the fleet's first start
	// firstStartDiscoveryTimeout.
	discoveryTimeout time.Duration
	// startedAt is when run began, lastFollowFailed whether the last call
	// failed.
	startedAt        time.Time
	lastFollowFailed bool
	// followedReplicaStale is set while the followed host replies that its
	// replica is not current, or with a replica age above the greatest usable one.
	followedReplicaStale bool
	// probes schedules this host's probes of the log service while
	// followedReplicaStale is set.
	probes readProbes
	// wasPlanner is the result of isPlanner at the last iteration of run.
	wasPlanner bool
	// directReadCtx is the context of the running readers; nil while none runs.
	// otherReadersRunning is set while otherReaders run too.
	directReadCtx       context.Context
	cancelDirectReads   context.CancelFunc
	otherReadersRunning bool
	// directReadsStartedAt is when the running readers were started.
	// readingDirectly is set while readers run.
	directReadsStartedAt time.Time
	readingDirectly      atomic.Bool
	// following holds the followed host's address as a string; empty or nil if
	// there is none.
	following atomic.Value
	// relayAddr is the relay that the planner at relayPlannerAddr has named for
	// this host; empty if there is none.
	relayAddr, relayPlannerAddr string
	// lastPlannerStatus is from the planner's last reply; see replicaStatus.
	lastPlannerStatus atomic.Pointer[plannerStatus]
}

// plannerStatus is the planner's replica status at the time of a reply.
type plannerStatus struct {
	receivedAt                  time.Time
	replicaAge, logReachableFor time.Duration
}

// run keeps the replica current until ctx ends.
func (s *logSyncer) run(ctx context.Context) {
	s.startedAt = time.Now()
	s.startDirectReads(ctx)
	for ctx.Err() == nil {
		s.restartReadersOnPromotion()
		if s.follow(ctx) {
			s.stopDirectReads()
			continue
		}
		s.updateDirectReads(ctx)
		sleep(ctx, plannerRetryInterval)
	}
	s.stopDirectReads()
}

// follow makes one call to the planner or its relay. If the relay's reply
// can't be used, it calls the planner too. It reports whether this host's
// replica is now recent enough.
func (s *logSyncer) follow(ctx context.Context) bool {
	planner := s.plannerAddr()
	loads := s.takeKeyLoads()
	if planner == "" {
		s.applyKeyLoads(loads)
		s.onNoPlanner()
		s.setFollowed("", 0, nil)
		return false
	}
	if s.relayAddr != "" && s.relayPlannerAddr == planner {
		if s.followHost(ctx, s.relayAddr, maxRelayedReplicaAge, relayFollowTimeout, loads) {
			return true
		}
		loads = nil
	}
	s.relayAddr, s.relayPlannerAddr = "", planner
	return s.followHost(ctx, planner, maxReplicaAge, followTimeout, loads)
}

// followHost makes one call to the host at addr and applies the reply. It reports
// whether the call succeeded, the reply's replica age is at most maxAge, and this
// host's replica is current by that.
func (s *logSyncer) followHost(ctx context.Context, addr string, maxAge, timeout time.Duration, loads []peer.ServiceLoad) bool {
	req := peer.FollowRequest{Self: s.self(), Positions: map[metastore.Stream]metastore.Position{}, Newest: s.replica.Newest, Loads: loads, Notices: s.feedback.Notices(time.Now()),
		DesiredVersion: s.desiredVersion(), Wait: followWait, Clock: s.clock(), HelpersKnown: s.helpers()}
	isRelay := req.Self.Followers > 0
	if isRelay {
		req.Wait = relayFollowWait
	} else {
		req.LoadStats, req.Subset = s.picker.FlushLoadStats(), s.picker.Subset() // a relay's own are in its inFlightAggregator
		req.Demand = s.shares.flushDemand(time.Now())
	}
	if req.Self.CutOff {
		req.LoadStats = nil // requests without a response show nothing about upstreams
	}
	for _, stream := range relay.Streams {
		req.Positions[stream] = s.replica.FetchFrom(stream)
	}
	if s.refetchDesired {
		s.refetchedAt = time.Now()
		req.Positions[metastore.StreamOperators] = metastore.Position{Offset: -1}
	}
	ctx, cancel := progress.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := s.peers.Follow(ctx, addr, req)
	followLatency.Update(time.Since(sentAt).Seconds())
	s.lastFollowFailed = err != nil
	if err != nil {
		followFailures.Inc()
		s.followedReplicaStale = errors.Is(err, peer.ErrReplicaNotCurrent)
		s.onFollowFailed()
		s.setFollowed("", 0, err)
		return false
	}
	for _, b := range reply.Batches {
		s.apply(b)
	}
	s.onDesiredVersion(addr, reply.DesiredVersion)
	// A followed host may know a newer desired state than the log, if that has returned from a copy.
	// It is fetched until it arrives: the followed host's replica may still be of the old era.
	s.refetchDesired = reply.DesiredVersion > s.desiredVersion() && time.Since(s.refetchedAt) >= followWait &&
		!s.replica.Next(metastore.StreamOperators).Before(reply.Positions[metastore.StreamOperators])
	for _, stream := range relay.Streams {
		// Without a position, of an earlier build, the batches are taken for complete.
		s.replica.MarkCurrent(stream, reply.Positions[stream], reply.ReceivedAt.Add(-reply.Age))
	}
	if addr == s.relayPlannerAddr && s.relayAddr == "" {
		s.lastPlannerStatus.Store(&plannerStatus{receivedAt: reply.ReceivedAt, replicaAge: reply.Age, logReachableFor: reply.LogReachableFor})
		s.relayAddr = reply.Relay
	}
	s.fleet.SetPlannerFleetSize(reply.HostCount)
	if len(reply.Helpers) > 0 {
		s.onHelpers(reply.Helpers)
	}
	s.feedback.Merge(addr, reply.Notices, time.Now())
	s.picker.SetLogFailing(reply.LogReachableFor < reply.Age) // it has failed since the last read
	s.onSpeeds(reply.Speeds)
	if !isRelay {
		s.picker.SetPeerLoads(reply.PeerLoads, time.Now())
		s.picker.SetSilenceNotices(reply.Silences, reply.ReceivedAt)
		s.shares.update(reply.Shares, reply.ReceivedAt)
	}
	if s.followedReplicaStale = reply.Age > maxAge; s.followedReplicaStale {
		s.setFollowed("", reply.Age, nil)
		return false
	}
	if age := s.replica.Age(time.Now()); age > directReadAge {
		// The reply did not bring this host as far as the followed host.
		s.setFollowed("", age, nil)
		return false
	}
	s.setFollowed(addr, reply.Age, nil)
	s.probes.reset()
	s.onPlannerFollowed(reply.LogReachableFor)
	return true
}

// replicaStatus returns the status of this host's replica if other hosts may follow it: if this
// host follows the planner itself or reads the log service. A relay that has lost its planner
// thus spares its followers reading the log service. The planner's LogReachableFor is passed on
// as received, because it does not cover the time since.
func (s *logSyncer) replicaStatus(now time.Time) (peer.ReplicaStatus, bool) {
	if status := s.lastPlannerStatus.Load(); status != nil {
		if age := status.replicaAge + now.Sub(status.receivedAt); age <= maxRelayedReplicaAge {
			return peer.ReplicaStatus{Age: age, LogReachableFor: status.logReachableFor}, true
		}
	}
	if age := s.replica.Age(now); s.readingDirectly.Load() && age <= maxRelayedReplicaAge {
		return peer.ReplicaStatus{Age: age, LogReachableFor: s.replica.LogReachableFor(now)}, true
	}
	return peer.ReplicaStatus{}, false
}

// followedAddr returns the address of the host that this host follows, or "".
func (s *logSyncer) followedAddr() string {
	addr, _ := s.following.Load().(string)
	return addr
}

// setFollowed sets the followed address, "" for none, and logs a change.
func (s *logSyncer) setFollowed(addr string, age time.Duration, err error) {
	old := s.followedAddr()
	if addr == old {
		return
	}
	if addr != "" {
		s.zl.Info("following the log replica of another host", zap.Int("event", events.ReplicaFollowStarted), zap.String("planner", addr), zap.Duration("age", age))
	} else {
		s.zl.Info("stopped following the log replica of another host", zap.Int("event", events.ReplicaFollowStopped), zap.String("planner", old),
			zap.Duration("age", age), ErrorField(err))
	}
	s.following.Store(addr)
}
