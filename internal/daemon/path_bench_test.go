package daemon_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/histogram"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/standin/loopback"
	stand "github.com/papayatide/papayatide/internal/standin/target"
)

// BenchmarkPath measures keyed GETs through one entry host to 20 target
// stand-ins (work time 0) on loopback, in parallel, and reports the
// latency quantiles the caller sees.
func BenchmarkPath(b *testing.B) {
	f := startFleetFromSpec(b, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 64, HostsPerDC: 1,
		Services: []manifest.ServiceSize{{Name: "routeboard", Upstreams: 20, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), Target: stand.Options{}})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	done := make(chan []float64, 64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		var local []float64
		defer func() { done <- local }()
		i := 0
		for pb.Next() {
			i++
			start := time.Now()
			resp, err := client.Get(f.Hosts[0].URL + "/routeboard/key-" + strconv.Itoa(i%100000))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %d", resp.StatusCode)
				return
			}
			local = append(local, float64(time.Since(start).Microseconds()))
		}
	})
	b.StopTimer()
	close(done)
	h := histogram.NewFast()
	for samples := range done {
		for _, v := range samples {
			h.Update(v)
		}
	}
	b.ReportMetric(h.Quantile(0.5), "p50-us")
	b.ReportMetric(h.Quantile(0.99), "p99-us")
}
