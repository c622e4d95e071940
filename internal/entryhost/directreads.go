package entryhost

import (
	"context"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

// updateDirectReads starts or stops the stream readers, or starts a single read
// (a probe), while this host follows none. While the followed host's replica is
// stale, a host that is no candidate runs its readers only after a probe has
// succeeded, and stops them when a read fails.
func (s *logSyncer) updateDirectReads(ctx context.Context) {
	if s.self().Candidate || s.isPlanner() || !s.followedReplicaStale || s.replica.Next(metastore.StreamOperators).Offset < 0 {
		s.startDirectReads(ctx)
		return
	}
	if s.directReadCtx != nil && s.probes.failedSince(s.directReadsStartedAt) {
		s.stopDirectReads()
		return
	}
	if s.directReadCtx != nil {
		s.startDirectReads(ctx) // reads the other streams too once they are too old
		return
	}
	s.onStaleReplica() // the host that replied is alive, so this host does not seek the lease
	switch s.probes.next(time.Now(), s.fleet.Size(time.Now())) {
	case probeNow:
		go func() { s.probes.finish(s.otherReaders[probeReaderIndex].readOnce(ctx)) }()
	case startReaders:
		s.startDirectReads(ctx)
	}
}

// restartReadersOnPromotion stops the readers when this host becomes the
// planner; run starts them again. Their pending reads wait longer than a
// planner's, so that the replica would look too old to the other hosts, which
// would all read the log service.
func (s *logSyncer) restartReadersOnPromotion() {
	planner := s.isPlanner()
	if planner && !s.wasPlanner {
		s.stopDirectReads()
	}
	s.wasPlanner = planner
}

// startDirectReads starts the reader of the ownership stream, which names the
// planner, and the other readers if shouldReadOtherStreams, unless they run
// already. It is called again while following fails.
func (s *logSyncer) startDirectReads(ctx context.Context) {
	if s.directReadCtx == nil {
		s.directReadCtx, s.cancelDirectReads = context.WithCancel(ctx)
		s.directReadsStartedAt = time.Now()
		s.readingDirectly.Store(true)
		go s.ownershipReader.run(s.directReadCtx)
	}
	if s.otherReadersRunning || !s.shouldReadOtherStreams(time.Now()) {
		return
	}
	s.otherReadersRunning = true
	for _, reader := range s.otherReaders {
		go reader.run(s.directReadCtx)
	}
}

// shouldReadOtherStreams reports whether the streams other than ownership must
// be read directly. After a change of planner most hosts find the new one before
// their replica is older than directReadAge, so that the change costs one or two
// calls per host instead of five or six.
func (s *logSyncer) shouldReadOtherStreams(now time.Time) bool {
	switch {
	case s.isPlanner() || s.self().Candidate:
		return true // other hosts follow this one, or may soon
	case s.replica.Next(metastore.StreamOperators).Offset < 0:
		return s.lastFollowFailed || now.Sub(s.startedAt) > s.discoveryTimeout
	}
	return s.replica.Age(now) > directReadAge
}

// stopDirectReads stops reading the log service.
func (s *logSyncer) stopDirectReads() {
	if s.directReadCtx != nil {
		s.cancelDirectReads()
		s.directReadCtx, s.otherReadersRunning = nil, false
		s.readingDirectly.Store(false)
	}
}
