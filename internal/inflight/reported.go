package inflight

import (
	"math"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
)

const (
	// unknownSmoothing is the weight of a new load report in the smoothed number of unknown
	// requests. Reports and the hosts' statistics are of moments up to 0.3 s apart.
	unknownSmoothing = 0.4
	// unknownTTL is how long that number counts without a new report.
	unknownTTL = 1500 * time.Millisecond
)

// unknownLoad is the smoothed number of requests at an upstream that no host of this data centre
// has sent, by the upstream's load reports: they are from other data centres. Without it, each
// data centre takes the upstreams of the others for idle, and all of them send there at once.
type unknownLoad struct {
	requests float64
	at       time.Time
}

// observeReports updates the unknown requests from the load reports in a host's statistics. The
// host's own requests are part of the sums already.
func (a *Aggregator) observeReports(loads []balance.LoadStats, now time.Time) {
	for _, l := range loads {
		if !l.HasReport {
			continue
		}
		sample := float64(max(l.Reported-max(a.inFlight[l.ID], 0), 0))
		u := a.unknown[l.ID]
		if now.Sub(u.at) > unknownTTL {
			u.requests = sample
		} else {
			u.requests += unknownSmoothing * (sample - u.requests)
		}
		u.at = now
		a.unknown[l.ID] = u
	}
}

// unknownAt returns the number of requests at the upstream from other data centres; 0 without
// recent load reports.
func (a *Aggregator) unknownAt(id string, now time.Time) int {
	u, ok := a.unknown[id]
	if !ok || now.Sub(u.at) > unknownTTL {
		return 0
	}
	return int(math.Round(u.requests))
}
