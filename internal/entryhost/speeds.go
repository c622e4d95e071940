package entryhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/worktime"
)

var speedsReceived = metrics.NewCounter(`papayatide_upstream_speeds_received_total`)

// speedsInterval is how often a candidate is sent the speeds of upstreams. A planner learns them
// within some ten seconds; 123 upstreams with IDs of 32 bytes take 5.3 KB.
const speedsInterval = 2 * time.Second

// speedExchange passes the speeds of upstreams of competing keyed services from the planner to
// candidates, also through a relay, so that the next planner starts from them.
type speedExchange struct {
	mu sync.Mutex
	// speeds are those that this host has estimated as the planner, or has received last, at
	// updatedAt.
	speeds    []worktime.Speed
	updatedAt time.Time
	// sentAt is when they were last sent to each candidate, by host name.
	sentAt map[string]time.Time
}

// set replaces the speeds.
func (x *speedExchange) set(speeds []worktime.Speed, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.speeds, x.updatedAt = speeds, now
}

// due reports whether the speeds are older than speedsInterval.
func (x *speedExchange) due(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now.Sub(x.updatedAt) >= speedsInterval
}

// forCaller returns the speeds to send to a caller, nil if it is no candidate or was sent them
// less than speedsInterval ago. Their ages include the time since they were set.
func (x *speedExchange) forCaller(caller fleet.Host, now time.Time) []worktime.Speed {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !caller.Candidate || len(x.speeds) == 0 || now.Sub(x.sentAt[caller.Name]) < speedsInterval {
		return nil
	}
	if x.sentAt == nil || len(x.sentAt) >= maxSpeedReceivers {
		x.sentAt = map[string]time.Time{}
	}
	x.sentAt[caller.Name] = now
	out := slices.Clone(x.speeds)
	for i := range out {
		out[i].Age += now.Sub(x.updatedAt)
	}
	return out
}

// maxSpeedReceivers bounds sentAt. It is far above the number of candidates.
const maxSpeedReceivers = 1024

// updateSpeeds takes the planner's speeds for forCaller, at most once per speedsInterval. It runs
// on the control goroutine.
func (h *host) updateSpeeds(now time.Time) {
	v := h.views.Load()
	if !h.controller.isPlanner.Load() || v.Desired == nil || !h.speeds.due(now) {
		return
	}
	var speeds []worktime.Speed
	for _, service := range v.Desired.KeyedServices() {
		if v.Desired.Competing(service) {
			speeds = append(speeds, h.controller.loads.Speeds(service, v.Upstreams.ForService(service), now)...)
		}
	}
	h.speeds.set(speeds, now)
}

// receiveSpeeds stores the speeds in a reply, for this host's followers and for itself as the next
// planner.
func (h *host) receiveSpeeds(ctx context.Context, speeds []worktime.Speed) {
	if len(speeds) == 0 {
		return
	}
	speedsReceived.Inc()
	now := time.Now()
	h.speeds.set(speeds, now)
	h.controller.post(ctx, func() {
		upstreams, byService := h.views.Load().Upstreams, map[string][]worktime.Speed{}
		for _, s := range speeds {
			if u := upstreams.ByID[s.ID]; u != nil {
				byService[u.Service] = append(byService[u.Service], s)
			}
		}
		for service, list := range byService {
			h.controller.loads.Seed(service, list, now)
		}
	})
}
