package routing

import (
	"time"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/refusal"
)

// StepLookup names the lookup step in refusals.
const StepLookup = "lookup"

// Service is one service's routes.
type Service struct {
	Spec *manifest.Service
	// Homes maps a shard to its home data centre's index in the manifest.
	Homes []uint8
	// ByDC holds, per data centre index, the assignment in force (nil
	// until that data centre's first placement record is read).
	ByDC []*placement.Assignment
	// HandoverUntil holds, for shards that moved at the current epoch,
	// the time before which the new owner must not get work: the old
	// owner's grant may still be live until then.
	HandoverUntil map[int]time.Time
}

// Table is the routing snapshot. It is never changed after publication.
type Table struct {
	Manifest       *manifest.Manifest
	ManifestOffset int64
	Services       map[string]*Service
	// ViewAt is when the control loop last read the log's head.
	ViewAt time.Time
}

// Route is where one request goes.
type Route struct {
	Upstream *manifest.Upstream
	Shard    int
	// FencingToken is the epoch of the placement that names the owner.
	FencingToken int64
}

// Lookup finds the owner of key in service at time now.
func (t *Table) Lookup(service, key string, now time.Time) (Route, *refusal.Refusal) {
	svc := t.Services[service]
	if svc == nil {
		return Route{}, refusal.New(refusal.UnknownService, StepLookup, "", refusal.NotRun, 0, service)
	}
	shard := placement.ShardOf(service, key, svc.Spec.ShardCount())
	a := svc.ByDC[svc.Homes[shard]]
	var owner *manifest.Upstream
	if a != nil {
		owner = a.Owner(shard)
	}
	if owner == nil {
		return Route{}, refusal.New(refusal.NoOwner, StepLookup, "", refusal.NotRun, time.Second, "no live owner for the key")
	}
	if until, ok := svc.HandoverUntil[shard]; ok && now.Before(until) {
		return Route{}, refusal.New(refusal.Handover, StepLookup, owner.Name, refusal.NotRun, until.Sub(now), "owner changing")
	}
	return Route{Upstream: owner, Shard: shard, FencingToken: a.Epoch}, nil
}
