package entryhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/settings"
)

// housekeep runs once a housekeepInterval until ctx ends: it updates the limits
// that depend on the fleet size and discards the state of upstreams that are no
// longer in the snapshot. It also applies reloaded settings.
func (h *host) housekeep(ctx context.Context, reload <-chan *settings.EntryHost) {
	t := time.NewTicker(housekeepInterval)
	defer t.Stop()
	current := h.cfg
	for {
		select {
		case <-ctx.Done():
			return
		case cfg := <-reload:
			current = cfg
			h.zl.Info("settings reloaded", zap.Int("event", events.SettingsReloaded))
		case now := <-t.C:
			h.logDroppedLines()
			h.versions.check(now)
			h.shares.divider.Check(now)
			hosts := h.fleet.Size(now)
			h.dispatch.SetHostCount(hosts, h.fleetSizeKnown(now))
			h.budget.SetLimits(hostBudgetLimits(current, hosts))
			known := knownIn(h.views.Load().Upstreams)
			h.client.Prune(now, known)
			h.dispatch.PruneHelpers(now)
			h.picker.Prune(known)
			h.feedback.Prune(known, now)
			h.dispatch.Prune()
		}
	}
}

// fleetSizeKnown reports whether the fleet size can be relied on: it came from
// the planner, or this host is the planner and the other hosts have had
// fleetDiscoveryTime to call it.
func (h *host) fleetSizeKnown(now time.Time) bool {
	return h.fleet.HasPlannerFleetSize() || (h.controller.isPlanner.Load() && now.Sub(h.logSyncer.startedAt) > fleetDiscoveryTime)
}

// fleetDiscoveryTime is how long after its start a planner that has received no
// fleet size from another planner waits for the other hosts to call.
const fleetDiscoveryTime = 3 * time.Second

// logDroppedLines logs how many log lines were dropped since its last call.
func (h *host) logDroppedLines() {
	total := h.plat.DroppedLogLines()
	if total > h.loggedDroppedLines {
		h.zl.Warn("log lines dropped", zap.Int("event", events.LogLinesDropped), zap.Int64("dropped", total-h.loggedDroppedLines))
	}
	h.loggedDroppedLines = total
}

// knownIn returns a function that reports whether s contains an upstream. An
// unlisted upstream stays in the snapshot for unlistedRetention.
func knownIn(s *catalogue.Snapshot) func(id string) bool {
	return func(id string) bool { return s.ByID[id] != nil }
}
