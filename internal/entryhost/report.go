package entryhost

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/loadmap"
	"github.com/papayatide/papayatide/internal/peer"
)

const (
	// reportEvery is how often load is reported. A burst on a few keys is
	// to be answered within a second.
	reportEvery   = 300 * time.Millisecond
	reportTimeout = 300 * time.Millisecond
	// reportSamples bounds one report; more requests are sampled.
	reportSamples = 512
)

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

// report sends what has gathered to the planner until ctx ends.
func (h *host) report(ctx context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if loads := h.reporter.take(); len(loads) > 0 {
			h.deliver(ctx, loads)
		}
	}
}

// deliver hands loads to the planner, which may be this host.
func (h *host) deliver(ctx context.Context, loads []peer.ServiceLoad) {
	addr := ""
	for _, t := range h.views.Load().Tables {
		addr = t.PlannerAddr
	}
	if addr == "" {
		return
	}
	if addr == h.cfg.PeerListen {
		h.takeLoads(ctx, loads)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := h.peers.ReportLoad(ctx, addr, loads); err != nil {
		h.zl.Debug("load report failed", zap.Int("event", events.LoadReportFailed), zap.Error(err))
	}
}

func (h *host) takeLoads(ctx context.Context, loads []peer.ServiceLoad) {
	h.control.post(ctx, func() {
		for _, l := range loads {
			h.control.loads.Add(l.Service, l.Samples, l.Weight, time.Now())
		}
	})
}
