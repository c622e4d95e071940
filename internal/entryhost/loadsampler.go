package entryhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/keyload"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/internal/worktime"
)

// maxSummarySamples bounds the samples per service in one load summary. Above it,
// requests are sampled at random.
const maxSummarySamples = 512

// loadSampler collects samples of callers' requests to keyed services for the
// next load summary: the peer.ServiceLoad values that a host sends to the planner
// or its relay. It is safe for concurrent use.
type loadSampler struct {
	mu        sync.Mutex
	byService map[string]*serviceReservoir
}

// serviceReservoir holds random samples of a service's requests. requests is the
// number of requests that they represent.
type serviceReservoir struct {
	samples  []keyload.Sample
	requests float64
}

func newLoadSampler() *loadSampler { return &loadSampler{byService: map[string]*serviceReservoir{}} }

// add records a finished request.
func (s *loadSampler) add(e *dispatch.RequestSummary) {
	if e.Key < 0 || e.Service == "" {
		return
	}
	sample := keyload.Sample{Key: e.Key}
	if e.Refusal == nil {
		sample.Upstream, sample.Latency = e.Upstream, e.UpstreamTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservoirFor(e.Service).add(sample, 1)
}

// merge adds load summaries of this host's followers.
func (s *loadSampler) merge(loads []peer.ServiceLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range loads {
		reservoir := s.reservoirFor(l.Service)
		for _, sample := range l.Samples {
			reservoir.add(sample, l.Weight)
		}
	}
}

// reservoirFor returns the reservoir of a service and creates it if needed. The
// caller holds mu.
func (s *loadSampler) reservoirFor(service string) *serviceReservoir {
	reservoir := s.byService[service]
	if reservoir == nil {
		reservoir = &serviceReservoir{}
		s.byService[service] = reservoir
	}
	return reservoir
}

// add adds a sample that represents weight requests. Once there are
// maxSummarySamples, it replaces a random one, with a probability that gives
// every request the same chance to be kept (reservoir sampling).
func (s *serviceReservoir) add(sample keyload.Sample, weight float64) {
	s.requests += weight
	if len(s.samples) < maxSummarySamples {
		s.samples = append(s.samples, sample)
		return
	}
	if rand.Float64()*s.requests < maxSummarySamples*weight {
		s.samples[rand.IntN(maxSummarySamples)] = sample
	}
}

// take returns the load summary and starts a new one.
func (s *loadSampler) take() []peer.ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	var loads []peer.ServiceLoad
	for service, reservoir := range s.byService {
		loads = append(loads, peer.ServiceLoad{Service: service, Weight: reservoir.requests / float64(len(reservoir.samples)), Samples: reservoir.samples})
	}
	clear(s.byService)
	return loads
}

// plannerAddr returns the planner's peer address (host:port). It is empty if no
// planner is known or it is this host.
func (h *host) plannerAddr() string {
	for _, t := range h.views.Load().Tables {
		if t.PlannerAddr != h.cfg.PeerListen {
			return t.PlannerAddr
		}
	}
	return ""
}

// receiveKeyLoads handles the load summary of a follower. The planner uses it; a
// relay merges it into its own.
func (h *host) receiveKeyLoads(ctx context.Context, loads []peer.ServiceLoad) {
	if h.controller.isPlanner.Load() {
		h.addKeyLoads(ctx, loads)
		return
	}
	h.loadSampler.merge(loads)
}

// addKeyLoads adds a load summary to the planner's load estimate.
func (h *host) addKeyLoads(ctx context.Context, loads []peer.ServiceLoad) {
	if len(loads) == 0 {
		return
	}
	h.controller.post(ctx, func() {
		for _, l := range loads {
			h.controller.loads.Add(l.Service, l.Samples, l.Weight, time.Now())
		}
		h.updateSpeeds(time.Now())
	})
}

// self describes this host to the hosts that it calls.
func (h *host) self() fleet.Host {
	return fleet.Host{Name: h.cfg.Host, DataCentre: h.cfg.DataCentre, PeerAddr: h.cfg.PeerListen, Candidate: h.candidate,
		Followers: h.fleet.Followers(time.Now()), CutOff: h.dispatch.Paths.CutOff()}
}

// replicaStatus returns the status of this host's replica of the log, and
// whether other hosts may follow it.
func (h *host) replicaStatus(now time.Time) (peer.ReplicaStatus, bool) {
	if h.controller.isPlanner.Load() {
		return peer.ReplicaStatus{IsPlanner: true, Age: h.controller.replica.Age(now), LogReachableFor: h.controller.replica.LogReachableFor(now)}, true
	}
	return h.logSyncer.replicaStatus(now)
}

// newLogSyncer returns the logSyncer of this host's replica, with its stream
// readers.
func (h *host) newLogSyncer(ctx context.Context) *logSyncer {
	ownershipReader, others := h.controller.newStreamReaders(ctx)
	timeout := defaultDiscoveryTimeout
	if h.cfg.FirstStart {
		timeout = firstStartDiscoveryTimeout
	}
	syncer := &logSyncer{discoveryTimeout: timeout, zl: h.zl, peers: h.peers, replica: h.controller.replica, ownershipReader: ownershipReader, otherReaders: others, plannerAddr: h.plannerAddr, isPlanner: h.controller.isPlanner.Load,
		clock: h.controller.clock, helpers: h.helpers.get, onHelpers: h.setHelpers, onNoPlanner: h.useOwnFollowers,
		self: h.self, fleet: h.fleet, picker: h.picker, feedback: h.feedback, shares: h.shares,
		takeKeyLoads: h.loadSampler.take, applyKeyLoads: func(l []peer.ServiceLoad) { h.addKeyLoads(ctx, l) },
		onSpeeds:       func(speeds []worktime.Speed) { h.receiveSpeeds(ctx, speeds) },
		desiredVersion: h.desiredVersion, onDesiredVersion: func(host string, version int64) { h.versions.observe(host, version, time.Now()) },
		apply:          func(b relay.Batch) { h.controller.applyAndWait(ctx, b) },
		onFollowFailed: func() { h.controller.post(ctx, h.controller.planner.LeaseMayMove) },
		onStaleReplica: func() { h.controller.post(ctx, func() { h.controller.planner.PlannerSeen(h.controller.clock()) }) },
		onPlannerFollowed: func(logReachableFor time.Duration) {
			h.controller.post(ctx, func() { h.controller.onPlannerFollowed(logReachableFor) })
		}}
	for _, reader := range append(others, ownershipReader) {
		reader.firstReadNoWait = h.candidate
		onResult := reader.onResult
		reader.onResult = func(err error) {
			onResult(err)
			if err != nil {
				syncer.probes.recordFailure()
			}
		}
	}
	return syncer
}
