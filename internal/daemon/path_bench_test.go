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
	standin "github.com/papayatide/papayatide/internal/standin/target"
)

// BenchmarkPath measures the path of a request from its caller through one entry host
// to a target and back: parallel GETs to 20 stand-in targets on loopback, which respond
// without delay. It reports the callers' latency quantiles.
func BenchmarkPath(b *testing.B) {
	f := startFleetFromSpec(b, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 64, HostsPerDC: 1,
		Services: []manifest.ServiceSpec{{Name: "routeboard", Upstreams: 20, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), Target: standin.Options{}})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	perWorker := make(chan []float64, 64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		var latencies []float64
		defer func() { perWorker <- latencies }()
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
			latencies = append(latencies, float64(time.Since(start).Microseconds()))
		}
	})
	b.StopTimer()
	close(perWorker)
	h := histogram.NewFast()
	for samples := range perWorker {
		for _, v := range samples {
			h.Update(v)
		}
	}
	b.ReportMetric(h.Quantile(0.5), "p50-us")
	b.ReportMetric(h.Quantile(0.99), "p99-us")
}
