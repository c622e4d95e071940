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
const reportSamples = 512

// loadSampler gathers what callers ask of keyed services.
type loadSampler struct {
	mu sync.Mutex
	by map[string]*gathered
}

// gathered is a sample of a service's requests; seen is how many they were.
type gathered struct {
	samples []keyload.Sample
	seen    float64
}

func newLoadSampler() *loadSampler { return &loadSampler{by: map[string]*gathered{}} }

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
	r.of(e.Service).add(s, 1)
}

// merge takes in the reports of hosts that follow this one.
func (r *loadSampler) merge(loads []peer.ServiceLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range loads {
		g := r.of(l.Service)
		for _, s := range l.Samples {
			g.add(s, l.Weight)
		}
	}
}

func (r *loadSampler) of(service string) *gathered {
	g := r.by[service]
	if g == nil {
		g = &gathered{}
		r.by[service] = g
	}
	return g
}

// add takes in a request that stands for weight requests. Beyond
// reportSamples each is kept with the chance that all had.
func (g *gathered) add(s keyload.Sample, weight float64) {
	g.seen += weight
	if len(g.samples) < reportSamples {
		g.samples = append(g.samples, s)
		return
	}
	if rand.Float64()*g.seen < reportSamples*weight {
		g.samples[rand.IntN(reportSamples)] = s
	}
}

// take returns what has gathered and starts anew.
func (r *loadSampler) take() []peer.ServiceLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []peer.ServiceLoad
	for name, g := range r.by {
		out = append(out, peer.ServiceLoad{Service: name, Weight: g.seen / float64(len(g.samples)), Samples: g.samples})
	}
	clear(r.by)
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
	if h.controller.planning.Load() {
		h.takeLoads(ctx, loads)
		return
	}
	h.loadSampler.merge(loads)
}

func (h *host) takeLoads(ctx context.Context, loads []peer.ServiceLoad) {
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
	if h.controller.planning.Load() {
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
	f := &logSyncer{discoveryTimeout: alone, zl: h.zl, peers: h.peers, replica: h.controller.replica, ownershipReader: own, otherReaders: rest, plannerAddr: h.plannerAddr, isPlanner: h.controller.planning.Load,
		self: h.self, fleet: h.fleet, board: h.board, feedback: h.feedback,
		takeLoads: h.loadSampler.take, applyLoads: func(l []peer.ServiceLoad) { h.takeLoads(ctx, l) },
		apply:             func(b relay.Batch) { h.controller.applyAndWait(ctx, b) },
		onPlannerLost:     func() { h.controller.post(ctx, h.controller.plan.PlannerLost) },
		onCandidateSeen:   func() { h.controller.post(ctx, func() { h.controller.plan.PlannerSeen(h.controller.clock()) }) },
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
