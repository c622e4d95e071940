// Package inflight adds up what the hosts of a data centre have under way at
// upstreams that any of them may choose.
//
// One host of sixty sends an upstream a request in ten seconds. What it sees
// by itself does not tell whether the upstream is busy or slow; the sum of what
// all see does. The hosts report over the calls that they make to follow the
// planner, and are told the others' sum in the answers.
package inflight

import (
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/worktime"
)

const (
	// reportTTL is how long a host's report counts. Undisturbed hosts report three
	// times a second; what a dead one had under way is cut off soon.
	reportTTL = 1200 * time.Millisecond
	// workTimeInterval is how often work times are worked out anew. They rest on
	// seconds of answers.
	workTimeInterval = 250 * time.Millisecond
)

type hostReport struct {
	receivedAt time.Time
	loads      []balance.LoadStats
}

// Aggregator is safe for concurrent use.
type Aggregator struct {
	// upstreams returns those that are listed.
	upstreams func() *catalogue.Snapshot

	mu        sync.Mutex
	hosts     map[string]hostReport
	inFlight  map[string]int
	estimator *worktime.Estimator
	workTimes map[string]time.Duration
	updatedAt time.Time
}

// New returns an empty sum over the upstreams that are listed.
func New(upstreams func() *catalogue.Snapshot, now time.Time) *Aggregator {
	return &Aggregator{upstreams: upstreams, hosts: map[string]hostReport{}, inFlight: map[string]int{}, estimator: worktime.New(now)}
}

// Record takes in what a host has, in place of what it reported before.
func (s *Aggregator) Record(host string, uses []balance.LoadStats, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceReport(host, hostReport{now, uses})
	for _, u := range uses {
		if u.Answered > 0 {
			s.estimator.Add(u.ID, float64(u.Answered), u.Latency.Seconds(), now)
		}
	}
}

// replaceReport puts a host's report in the place of its last one.
func (s *Aggregator) replaceReport(host string, next hostReport) {
	for _, u := range s.hosts[host].loads {
		s.inFlight[u.ID] -= u.InFlight
	}
	for _, u := range next.loads {
		s.inFlight[u.ID] += u.InFlight
	}
	s.hosts[host] = next
}

// PeerLoads returns what the hosts but the given one have at each of the upstreams
// with the given IDs; the zero value where nothing is known.
func (s *Aggregator) PeerLoads(host string, ids []string, now time.Time) []balance.PeerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now)
	own := map[string]int{}
	for _, u := range s.hosts[host].loads {
		own[u.ID] = u.InFlight
	}
	out := make([]balance.PeerLoad, len(ids))
	for i, id := range ids {
		if work, known := s.workTimes[id]; known {
			out[i] = balance.PeerLoad{ID: id, InFlight: s.inFlight[id] - own[id], WorkTime: work}
		}
	}
	return out
}

// update drops old reports and works the work times out, now and then.
func (s *Aggregator) update(now time.Time) {
	if now.Sub(s.updatedAt) < workTimeInterval {
		return
	}
	s.updatedAt = now
	for host, r := range s.hosts {
		if now.Sub(r.receivedAt) > reportTTL {
			s.replaceReport(host, hostReport{})
			delete(s.hosts, host)
		}
	}
	listed := s.upstreams()
	keep := func(id string) bool { return listed.ByID[id] != nil }
	s.estimator.Prune(keep)
	s.workTimes = map[string]time.Duration{}
	typical := map[string]float64{}
	for id := range s.inFlight {
		u := listed.ByID[id]
		if u == nil {
			delete(s.inFlight, id)
			continue
		}
		if _, ok := typical[u.Service]; !ok {
			typical[u.Service] = s.estimator.Median(listed.ForService(u.Service), now)
		}
		s.workTimes[id] = time.Duration(s.estimator.Estimate(u, typical[u.Service], now) * float64(time.Second))
	}
}
