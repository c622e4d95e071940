package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/loadmap"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/relay"
)

// reportSamples bounds one report; more requests are sampled.
const reportSamples = 512

// reporter gathers what callers ask of keyed services.
type reporter struct {
	mu   sync.Mutex
	by   map[string]*peer.ServiceLoad
	seen map[string]int
}

func newReporter() *reporter {
	return &reporter{by: map[string]*peer.ServiceLoad{}, seen: map[string]int{}}
}

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
	l := r.by[e.Service]
	if l == nil {
		l = &peer.ServiceLoad{Service: e.Service, Weight: 1}
		r.by[e.Service] = l
	}
	r.seen[e.Service]++
	if len(l.Samples) < reportSamples {
		l.Samples = append(l.Samples, s)
	}
}

// take returns what has gathered and starts anew.
func (r *reporter) take() []peer.ServiceLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []peer.ServiceLoad
	for name, l := range r.by {
		l.Weight = float64(r.seen[name]) / float64(len(l.Samples))
		out = append(out, *l)
	}
	clear(r.by)
	clear(r.seen)
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

// newFeed returns the feed of the host's copy of the log.
func (h *host) newFeed(ctx context.Context) *feed {
	return &feed{zl: h.zl, peers: h.peers, copy: h.control.copy, followers: h.control.followers(ctx), planner: h.plannerAddr,
		takeLoads: h.reporter.take, localLoads: func(l []peer.ServiceLoad) { h.takeLoads(ctx, l) },
		apply:    func(b relay.Batch) { h.control.take(ctx, b) },
		followed: func(steady time.Duration) { h.control.post(ctx, func() { h.control.followedPlanner(steady) }) }}
}
