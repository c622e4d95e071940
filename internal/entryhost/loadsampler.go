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
)

// reportSamples bounds one report; more requests are sampled.
const maxReportSamples = 512

// loadSampler gathers what callers ask of keyed services.
type loadSampler struct {
	mu        sync.Mutex
	byService map[string]*serviceSample
}

// serviceSample is a sample of a service's requests; seen is how many they were.
type serviceSample struct {
	samples  []keyload.Sample
	requests float64
}

func newLoadSampler() *loadSampler { return &loadSampler{byService: map[string]*serviceSample{}} }

// add counts a request that has ended.
func (r *loadSampler) add(e *dispatch.RequestSummary) {
	if e.Key < 0 || e.Service == "" {
		return
	}
	s := keyload.Sample{Key: e.Key}
	if e.Refusal == nil {
		s.Upstream, s.Latency = e.Upstream, e.UpstreamTime
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(e.Service).add(s, 1)
}

// merge takes in the reports of hosts that follow this one.
func (r *loadSampler) merge(loads []peer.ServiceLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range loads {
		g := r.service(l.Service)
		for _, s := range l.Samples {
			g.add(s, l.Weight)
		}
	}
}

func (r *loadSampler) service(service string) *serviceSample {
	g := r.byService[service]
	if g == nil {
		g = &serviceSample{}
		r.byService[service] = g
	}
	return g
}

// add takes in a request that stands for weight requests. Beyond
// reportSamples each is kept with the chance that all had.
func (g *serviceSample) add(s keyload.Sample, weight float64) {
	g.requests += weight
	if len(g.samples) < maxReportSamples {
		g.samples = append(g.samples, s)
		return
	}
	if rand.Float64()*g.requests < maxReportSamples*weight {
		g.samples[rand.IntN(maxReportSamples)] = s
	}
}

// take returns what has gathered and starts anew.
func (r *loadSampler) take() []peer.ServiceLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []peer.ServiceLoad
	for name, g := range r.byService {
		out = append(out, peer.ServiceLoad{Service: name, Weight: g.requests / float64(len(g.samples)), Samples: g.samples})
	}
	clear(r.byService)
	return out
}

// plannerAddr returns the planner's peer address; empty if none is known or
// it is this host.
func (h *host) plannerAddr() string {
	for _, t := range h.views.Load().Tables {
		if t.PlannerAddr != h.cfg.PeerListen {
			return t.PlannerAddr
		}
	}
	return ""
}

// receiveLoads takes in reports of other hosts: the planner uses them, a relay
// passes them on with its own.
func (h *host) receiveLoads(ctx context.Context, loads []peer.ServiceLoad) {
	if h.controller.isPlanner.Load() {
		h.addLoads(ctx, loads)
		return
	}
	h.loadSampler.merge(loads)
}

func (h *host) addLoads(ctx context.Context, loads []peer.ServiceLoad) {
	if len(loads) == 0 {
		return
	}
	h.controller.post(ctx, func() {
		for _, l := range loads {
			h.controller.loads.Add(l.Service, l.Samples, l.Weight, time.Now())
		}
	})
}

// self describes this host to the others.
func (h *host) self() fleet.Host {
	return fleet.Host{Name: h.cfg.Host, DataCentre: h.cfg.DataCentre, PeerAddr: h.cfg.PeerListen, Candidate: h.candidate,
		Followers: h.fleet.Followers(time.Now())}
}

// replicaStatus is the standing of this host's copy of the log.
func (h *host) replicaStatus(now time.Time) (peer.ReplicaStatus, bool) {
	if h.controller.isPlanner.Load() {
		return peer.ReplicaStatus{Planning: true, Age: h.controller.replica.Age(now), LogReachableFor: h.controller.replica.LogReachableFor(now)}, true
	}
	return h.logSyncer.replicaStatus(now)
}

// newLogSyncer returns the feed of the host's copy of the log.
func (h *host) newLogSyncer(ctx context.Context) *logSyncer {
	own, rest := h.controller.newStreamReaders(ctx)
	alone := discoveryTimeout
	if h.cfg.FirstStart {
		alone = firstStartDiscoveryTimeout
	}
	f := &logSyncer{discoveryTimeout: alone, zl: h.zl, peers: h.peers, replica: h.controller.replica, ownershipReader: own, otherReaders: rest, plannerAddr: h.plannerAddr, isPlanner: h.controller.isPlanner.Load,
		self: h.self, fleet: h.fleet, picker: h.picker, feedback: h.feedback,
		takeLoads: h.loadSampler.take, applyLoads: func(l []peer.ServiceLoad) { h.addLoads(ctx, l) },
		apply:             func(b relay.Batch) { h.controller.applyAndWait(ctx, b) },
		onPlannerLost:     func() { h.controller.post(ctx, h.controller.planner.PlannerLost) },
		onCandidateSeen:   func() { h.controller.post(ctx, func() { h.controller.planner.PlannerSeen(h.controller.clock()) }) },
		onPlannerFollowed: func(steady time.Duration) { h.controller.post(ctx, func() { h.controller.onPlannerFollowed(steady) }) }}
	for _, fl := range append(rest, own) {
		fl.firstReadNoWait = h.candidate
		told := fl.onResult
		fl.onResult = func(err error) {
			told(err)
			if err != nil {
				f.attempts.recordFailure()
			}
		}
	}
	return f
}
