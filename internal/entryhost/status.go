package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// maxOwnershipChanges bounds the ownership changes that a host remembers.
const maxOwnershipChanges = 32

// ownershipChange summarizes an adopted ownership table. The history does not
// keep the tables themselves: in a large fleet, maxOwnershipChanges of them take
// some two megabytes.
type ownershipChange struct {
	at                    time.Time
	service, cause        string
	term, maxFencingToken int64
	keys                  int
}

// ownershipHistory holds the latest ownership changes, oldest first. It is safe
// for concurrent use.
type ownershipHistory struct {
	mu      sync.Mutex
	changes []ownershipChange
}

// add records that table has replaced old, which is nil for a service's first.
func (h *ownershipHistory) add(old, table *ownership.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, ownershipChange{at: time.Now(), service: table.Service, cause: table.Cause, term: table.Term, maxFencingToken: table.MaxFencingToken,
		keys: table.KeysMovedSince(old)})
	if n := len(h.changes) - maxOwnershipChanges; n > 0 {
		h.changes = append([]ownershipChange(nil), h.changes[n:]...)
	}
}

func (h *ownershipHistory) list() []ownershipChange {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]ownershipChange(nil), h.changes...)
}

// retire stops this host's planning of the service in terms before the given
// one, which the caller plans in the given era of the log; see planner.Planner.Retire.
func (h *host) retire(ctx context.Context, service string, term, era int64) ownership.Retirement {
	done := make(chan ownership.Retirement, 1)
	h.controller.post(ctx, func() {
		h.controller.observeEra(era)
		done <- h.controller.planner.Retire(service, term, h.controller.clock())
	})
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return ownership.Retirement{}
	}
}

// status returns this host's state for operators.
func (h *host) status(context.Context) *peerpb.StatusReply {
	now := time.Now()
	v := h.views.Load()
	reply := &peerpb.StatusReply{Host: h.cfg.Host, DataCentre: h.cfg.DataCentre, Planning: h.controller.isPlanner.Load(),
		ViewAgeMs: uint32(h.controller.replica.Age(now).Milliseconds()), Hosts: uint32(h.fleet.Size(now)), InFlight: h.inFlight.Load()}
	reply.Follows = h.logSyncer.followedAddr()
	reply.Version = h.desiredVersion()
	newest, behind := h.versions.behind(now)
	reply.NewestVersion, reply.BehindMs = newest, uint32(behind.Milliseconds())
	for _, t := range v.Tables {
		reply.Services = append(reply.Services, describeTable(t))
	}
	for _, c := range h.controller.ownershipHistory.list() {
		reply.Changes = append(reply.Changes, &peerpb.OwnershipChange{AgeMs: uint32(now.Sub(c.at).Milliseconds()), Service: c.service,
			Term: c.term, Fence: c.maxFencingToken, Keys: uint32(c.keys), Cause: c.cause})
	}
	return reply
}

func describeTable(t *ownership.Table) *peerpb.ServiceStatus {
	status := &peerpb.ServiceStatus{Name: t.Service, Term: t.Term, Fence: t.MaxFencingToken, Planner: t.Planner, Lost: t.Lost}
	for _, r := range t.Ranges {
		status.Ranges = append(status.Ranges, &peerpb.OwnedRange{From: uint32(r.From), To: uint32(r.To), Owner: r.Owner, Fence: r.FencingToken})
	}
	return status
}
