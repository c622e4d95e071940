package placement

import (
	"fmt"
	"testing"

	"github.com/papayatide/papayatide/internal/manifest"
)

func benchService(upstreams, shards int) *manifest.Service {
	m := manifest.Generate("b", []string{"a"}, []manifest.ServiceSpec{{Name: "svc", Upstreams: upstreams}}, 3, 10, 1)
	m.Services[0].Shards = shards
	return &m.Services[0]
}

// BenchmarkAssign measures the computation of a service's whole assignment for
// growing numbers of upstreams and shards.
func BenchmarkAssign(b *testing.B) {
	for _, ups := range []int{20, 80, 320} {
		for _, shards := range []int{4096, 16384, 65536} {
			svc := benchService(ups, shards)
			members := svc.UpstreamNames()
			b.Run(fmt.Sprintf("upstreams=%d/shards=%d", ups, shards), func(b *testing.B) {
				for b.Loop() {
					Assign(svc, members, 1)
				}
			})
		}
	}
}

// BenchmarkShardOf measures hashing one key to its shard, the cost per request.
func BenchmarkShardOf(b *testing.B) {
	for b.Loop() {
		ShardOf("routeboard", "job-sheet-000123456", manifest.DefaultShards)
	}
}

// BenchmarkChurn reports the share of shards that move when one upstream joins, and
// the imbalance after that, for growing numbers of upstreams.
func BenchmarkChurn(b *testing.B) {
	for _, ups := range []int{20, 80, 320} {
		svc := benchService(ups+1, 65536)
		all := svc.UpstreamNames()
		b.Run(fmt.Sprintf("upstreams=%d", ups), func(b *testing.B) {
			var moved, imbalance float64
			for b.Loop() {
				before := Assign(svc, all[:ups], 1)
				after := Assign(svc, all, 2)
				moved = float64(len(Moved(before, after))) / float64(after.Shards())
				imbalance = after.Imbalance()
			}
			b.ReportMetric(moved*100, "%moved/join")
			b.ReportMetric(100/float64(ups+1), "%ideal")
			b.ReportMetric(imbalance, "imbalance")
		})
	}
}

// BenchmarkMembershipChange measures the control loop's cost of two placement
// records: one removes an upstream, the other adds it back.
func BenchmarkMembershipChange(b *testing.B) {
	for _, ups := range []int{20, 80, 320} {
		svc := benchService(ups, 65536)
		all := svc.UpstreamNames()
		full := Assign(svc, all, 1)
		b.Run(fmt.Sprintf("upstreams=%d", ups), func(b *testing.B) {
			for b.Loop() {
				reduced := Update(full, svc, all[1:], 2, nil, 0)
				Update(reduced, svc, all, 3, nil, 0)
			}
		})
	}
}
