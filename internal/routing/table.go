package routing

import (
	"time"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/refusal"
)

// StepLookup is the name of the lookup step in refusals.
const StepLookup = "lookup"

// Service holds the placement of one service.
type Service struct {
	Spec *manifest.Service
	// Homes maps a shard to its home data centre's index in the manifest.
	Homes []uint8
	// ByDC holds the current assignment by data centre index; nil until that
	// data centre's first placement record is read.
	ByDC []*placement.Assignment
	// HandoverUntil maps a shard that changed owner to the time until which the
	// new owner must get no requests, because the previous owner's grant may be
	// valid until then.
	HandoverUntil map[int]time.Time
}

// Table is a snapshot of all routes. It is immutable once published.
type Table struct {
	Manifest       *manifest.Manifest
	ManifestOffset int64
	Services       map[string]*Service
	// ViewAt is when the control loop last read the log to its end.
	ViewAt time.Time
}

// Route is the destination of one request.
type Route struct {
	Upstream *manifest.Upstream
	Shard    int
	// FencingToken is the epoch of the placement that names the owner.
	FencingToken int64
}

// Lookup returns the route to the owner of key in service, or a refusal if there
// is no owner or the shard is in handover at time now.
func (t *Table) Lookup(service, key string, now time.Time) (Route, *refusal.Refusal) {
	svc := t.Services[service]
	if svc == nil {
		return Route{}, refusal.New(refusal.UnknownService, StepLookup, "", refusal.NotRun, 0, service)
	}
	shard := placement.ShardOf(service, key, svc.Spec.ShardCount())
	assignment := svc.ByDC[svc.Homes[shard]]
	var owner *manifest.Upstream
	if assignment != nil {
		owner = assignment.Owner(shard)
	}
	if owner == nil {
		return Route{}, refusal.New(refusal.NoOwner, StepLookup, "", refusal.NotRun, time.Second, "no live owner for the key")
	}
	if until, ok := svc.HandoverUntil[shard]; ok && now.Before(until) {
		return Route{}, refusal.New(refusal.Handover, StepLookup, owner.Name, refusal.NotRun, until.Sub(now), "owner changing")
	}
	return Route{Upstream: owner, Shard: shard, FencingToken: assignment.Epoch}, nil
}
