package entryhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/loadmap"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/relay"
)

// reportSamples bounds one report; more requests are sampled.
const reportSamples = 512

// reporter gathers what callers ask of keyed services.
type reporter struct {
	mu sync.Mutex
	by map[string]*gathered
}

// gathered is a sample of a service's requests; seen is how many they were.
type gathered struct {
	samples []loadmap.Sample
	seen    float64
}

func newReporter() *reporter { return &reporter{by: map[string]*gathered{}} }

// add counts a request that has ended.
func (r *reporter) add(e *dispatch.End) {
	if e.Key < 0 || e.Service == "" {
		return
	}
	s := loadmap.Sample{Key: e.Key}
	if e.Refusal == nil {
		s.Upstream, s.Latency = e.Upstream, e.AtUpstream
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(e.Service).add(s, 1)
}

// merge takes in the reports of hosts that follow this one.
func (r *reporter) merge(loads []peer.ServiceLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range loads {
		g := r.of(l.Service)
		for _, s := range l.Samples {
			g.add(s, l.Weight)
		}
	}
}

func (r *reporter) of(service string) *gathered {
	g := r.by[service]
	if g == nil {
		g = &gathered{}
		r.by[service] = g
	}
	return g
}

// add takes in a request that stands for weight requests. Beyond
// reportSamples each is kept with the chance that all had.
func (g *gathered) add(s loadmap.Sample, weight float64) {
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
func (r *reporter) take() []peer.ServiceLoad {
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

// loadsFrom takes in reports of other hosts: the planner uses them, a relay
// passes them on with its own.
func (h *host) loadsFrom(ctx context.Context, loads []peer.ServiceLoad) {
	if h.control.planning.Load() {
		h.takeLoads(ctx, loads)
		return
	}
	h.reporter.merge(loads)
}

func (h *host) takeLoads(ctx context.Context, loads []peer.ServiceLoad) {
	if len(loads) == 0 {
		return
	}
	h.control.post(ctx, func() {
		for _, l := range loads {
			h.control.loads.Add(l.Service, l.Samples, l.Weight, time.Now())
		}
	})
}

// self describes this host to the others.
func (h *host) self() fleet.Host {
	return fleet.Host{Name: h.cfg.Host, DataCentre: h.cfg.DataCentre, PeerAddr: h.cfg.PeerListen, Eager: h.eager,
		Followers: h.fleet.Followers(time.Now())}
}

// standing is the standing of this host's copy of the log.
func (h *host) standing(now time.Time) (peer.Standing, bool) {
	if h.control.planning.Load() {
		return peer.Standing{Planning: true, Age: h.control.copy.Age(now), Steady: h.control.copy.Steady(now)}, true
	}
	return h.feed.standing(now)
}

// newFeed returns the feed of the host's copy of the log.
func (h *host) newFeed(ctx context.Context) *feed {
	own, rest := h.control.followers(ctx)
	alone := startAlone
	if h.cfg.FirstStart {
		alone = firstStartAlone
	}
	f := &feed{alone: alone, zl: h.zl, peers: h.peers, copy: h.control.copy, ownership: own, rest: rest, planner: h.plannerAddr, planning: h.control.planning.Load,
		self: h.self, fleet: h.fleet, board: h.board, feedback: h.feedback,
		takeLoads: h.reporter.take, localLoads: func(l []peer.ServiceLoad) { h.takeLoads(ctx, l) },
		apply: func(b relay.Batch) { h.control.take(ctx, b) },
		lost:  func() { h.control.post(ctx, h.control.plan.PlannerLost) },
		seen:  func() { h.control.post(ctx, func() { h.control.plan.PlannerSeen(h.control.clock()) }) },
		good:  func(steady time.Duration) { h.control.post(ctx, func() { h.control.followedPlanner(steady) }) }}
	for _, fl := range append(rest, own) {
		fl.prompt = h.eager
		told := fl.failed
		fl.failed = func(err error) {
			told(err)
			if err != nil {
				f.tries.failed()
			}
		}
	}
	return f
}
