package routing_test

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/routing"
)

// BenchmarkLookup measures the per-request routing cost on a table of 20
// upstreams over 3 data centres.
func BenchmarkLookup(b *testing.B) {
	dcs := []string{"a", "b", "c"}
	m := manifest.Generate("b", dcs, []manifest.ServiceSpec{{Name: "svc", Upstreams: 20}}, 3, 10, 1)
	svc := &m.Services[0]
	homes := placement.Homes(svc, dcs)
	service := &routing.Service{Spec: svc, Homes: homes, ByDC: make([]*placement.Assignment, 3), HandoverUntil: map[int]time.Time{}}
	for i := range dcs {
		service.ByDC[i] = placement.AssignDataCentre(svc, svc.UpstreamNames(), 1, homes, uint8(i))
	}
	t := &routing.Table{Manifest: m, Services: map[string]*routing.Service{"svc": service}}
	now := time.Now()
	for b.Loop() {
		if _, refused := t.Lookup("svc", "job-sheet-000123456", now); refused != nil {
			b.Fatal(refused)
		}
	}
}
