// Package inflight adds up the requests that the hosts of a data centre have in
// flight at upstreams that any of them may choose.
//
// In a fleet of sixty hosts, each sends an upstream about one request in ten
// seconds. From that alone a host cannot infer whether the upstream is busy or slow;
// the sum over all hosts shows it. Hosts report their load statistics in the calls by
// which they follow the planner, and receive the sums of the other hosts in the
// replies.
package inflight

import (
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/worktime"
)

const (
	// loadStatsTTL is how long a host's report counts. Healthy hosts report three times a
	// second; the requests of a crashed host end soon after it.
	loadStatsTTL = 1200 * time.Millisecond
	// workTimeInterval is how often work times are estimated anew. An estimate covers
	// seconds of responses and hardly changes in less time.
	workTimeInterval = 250 * time.Millisecond
)

// hostLoadStats is the latest report of a host.
type hostLoadStats struct {
	receivedAt time.Time
	loads      []balance.LoadStats
}

// Aggregator sums the load statistics that hosts report. It is safe for concurrent
// use.
type Aggregator struct {
	// upstreams returns the listed upstreams.
	upstreams func() *catalogue.Snapshot

	mu sync.Mutex
	// hosts holds each host's latest report, by host name.
	hosts map[string]hostLoadStats
	// inFlight is the sum over all hosts, by upstream ID.
	inFlight  map[string]int
	estimator *worktime.Estimator
	// workTimes holds the estimates of the last update, made at updatedAt, by
	// upstream ID.
	workTimes map[string]time.Duration
	updatedAt time.Time
}

// New returns an aggregator without reports. upstreams returns the listed upstreams.
func New(upstreams func() *catalogue.Snapshot, now time.Time) *Aggregator {
	return &Aggregator{upstreams: upstreams, hosts: map[string]hostLoadStats{}, inFlight: map[string]int{}, estimator: worktime.New(now)}
}

// Record replaces the host's previous report with loads.
func (a *Aggregator) Record(host string, loads []balance.LoadStats, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replaceLoadStats(host, hostLoadStats{now, loads})
	for _, l := range loads {
		if l.Answered > 0 {
			a.estimator.Add(l.ID, float64(l.Answered), l.Latency.Seconds(), now)
		}
	}
}

// replaceLoadStats replaces a host's report and adjusts the sums.
func (a *Aggregator) replaceLoadStats(host string, next hostLoadStats) {
	for _, l := range a.hosts[host].loads {
		a.inFlight[l.ID] -= l.InFlight
	}
	for _, l := range next.loads {
		a.inFlight[l.ID] += l.InFlight
	}
	a.hosts[host] = next
}

// PeerLoads returns, for each of the given upstreams, the load of all hosts except
// the given one; the zero value for an upstream without data.
func (a *Aggregator) PeerLoads(host string, ids []string, now time.Time) []balance.PeerLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.update(now)
	own := map[string]int{}
	for _, l := range a.hosts[host].loads {
		own[l.ID] = l.InFlight
	}
	out := make([]balance.PeerLoad, len(ids))
	for i, id := range ids {
		if workTime, known := a.workTimes[id]; known {
			out[i] = balance.PeerLoad{ID: id, InFlight: a.inFlight[id] - own[id], WorkTime: workTime}
		}
	}
	return out
}

// update drops expired reports and estimates the work times anew, at most once per
// workTimeInterval.
func (a *Aggregator) update(now time.Time) {
	if now.Sub(a.updatedAt) < workTimeInterval {
		return
	}
	a.updatedAt = now
	for host, r := range a.hosts {
		if now.Sub(r.receivedAt) > loadStatsTTL {
			a.replaceLoadStats(host, hostLoadStats{})
			delete(a.hosts, host)
		}
	}
	listed := a.upstreams()
	keep := func(id string) bool { return listed.ByID[id] != nil }
	a.estimator.Prune(keep)
	a.workTimes = map[string]time.Duration{}
	typical := map[string]float64{}
	for id := range a.inFlight {
		u := listed.ByID[id]
		if u == nil {
			delete(a.inFlight, id)
			continue
		}
		if _, ok := typical[u.Service]; !ok {
			typical[u.Service] = a.estimator.Median(listed.ForService(u.Service), now)
		}
		a.workTimes[id] = time.Duration(a.estimator.Estimate(u, typical[u.Service], now) * float64(time.Second))
	}
}
