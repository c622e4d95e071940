package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// keptChanges bounds the changes of ownership that a host remembers.
const maxOwnershipChanges = 32

// ownershipChange is a change of ownership that this host adopted. It does not keep
// the table: thirty of them are two megabytes on a large fleet.
type ownershipChange struct {
	at             time.Time
	service, cause string
	term, fence    int64
	keys           int
}

// ownershipHistory are the last ones. It is safe for concurrent use.
type ownershipHistory struct {
	mu      sync.Mutex
	changes []ownershipChange
}

func (c *ownershipHistory) add(old, now *ownership.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, ownershipChange{at: time.Now(), service: now.Service, cause: now.Cause, term: now.Term, fence: now.MaxFencingToken,
		keys: now.KeysMovedSince(old)})
	if n := len(c.changes) - maxOwnershipChanges; n > 0 {
		c.changes = append([]ownershipChange(nil), c.changes[n:]...)
	}
}

func (c *ownershipHistory) list() []ownershipChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]ownershipChange(nil), c.changes...)
}

// retire stops what this host plans of the service in terms before the given
// one, and reports whether no grant of those is under way any more.
func (h *host) retire(ctx context.Context, service string, term int64) bool {
	done := make(chan bool, 1)
	h.controller.post(ctx, func() { done <- h.controller.planner.Retire(service, term, h.controller.clock()) })
	select {
	case retired := <-done:
		return retired
	case <-ctx.Done():
		return false
	}
}

// status tells what this host believes, for operators.
func (h *host) status(context.Context) *peerpb.StatusReply {
	now := time.Now()
	v := h.views.Load()
	out := &peerpb.StatusReply{Host: h.cfg.Host, DataCentre: h.cfg.DataCentre, Planning: h.controller.isPlanner.Load(),
		ViewAgeMs: uint32(h.controller.replica.Age(now).Milliseconds()), Hosts: uint32(h.fleet.Size(now)), InFlight: h.inFlight.Load()}
	out.Follows = h.logSyncer.followedAddr()
	if v.Desired != nil {
		out.Version = v.Desired.Version
	}
	for _, t := range v.Tables {
		out.Services = append(out.Services, describeTable(t))
	}
	for _, c := range h.controller.ownershipHistory.list() {
		out.Changes = append(out.Changes, &peerpb.OwnershipChange{AgeMs: uint32(now.Sub(c.at).Milliseconds()), Service: c.service,
			Term: c.term, Fence: c.fence, Keys: uint32(c.keys), Cause: c.cause})
	}
	return out
}

func describeTable(t *ownership.Table) *peerpb.ServiceStatus {
	s := &peerpb.ServiceStatus{Name: t.Service, Term: t.Term, Fence: t.MaxFencingToken, Planner: t.Planner, Lost: t.Lost}
	for _, r := range t.Ranges {
		s.Ranges = append(s.Ranges, &peerpb.OwnedRange{From: uint32(r.From), To: uint32(r.To), Owner: r.Owner, Fence: r.FencingToken})
	}
	return s
}
