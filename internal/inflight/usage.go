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
	// fresh is how long a host's report counts. Undisturbed hosts report three
	// times a second; what a dead one had under way is cut off soon.
	fresh = 1200 * time.Millisecond
	// workEvery is how often work times are worked out anew. They rest on
	// seconds of answers.
	workEvery = 250 * time.Millisecond
)

type report struct {
	at   time.Time
	uses []balance.LoadStats
}

// Aggregator is safe for concurrent use.
type Aggregator struct {
	// upstreams returns those that are listed.
	upstreams func() *catalogue.Snapshot

	mu       sync.Mutex
	hosts    map[string]report
	underWay map[string]int
	answers  *worktime.Estimator
	work     map[string]time.Duration
	workedAt time.Time
}

// New returns an empty sum over the upstreams that are listed.
func New(upstreams func() *catalogue.Snapshot, now time.Time) *Aggregator {
	return &Aggregator{upstreams: upstreams, hosts: map[string]report{}, underWay: map[string]int{}, answers: worktime.New(now)}
}

// Record takes in what a host has, in place of what it reported before.
func (s *Aggregator) Record(host string, uses []balance.LoadStats, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(host, report{now, uses})
	for _, u := range uses {
		if u.Answered > 0 {
			s.answers.Add(u.ID, float64(u.Answered), u.Latency.Seconds(), now)
		}
	}
}

// replace puts a host's report in the place of its last one.
func (s *Aggregator) replace(host string, next report) {
	for _, u := range s.hosts[host].uses {
		s.underWay[u.ID] -= u.InFlight
	}
	for _, u := range next.uses {
		s.underWay[u.ID] += u.InFlight
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
	for _, u := range s.hosts[host].uses {
		own[u.ID] = u.InFlight
	}
	out := make([]balance.PeerLoad, len(ids))
	for i, id := range ids {
		if work, known := s.work[id]; known {
			out[i] = balance.PeerLoad{ID: id, InFlight: s.underWay[id] - own[id], WorkTime: work}
		}
	}
	return out
}

// update drops old reports and works the work times out, now and then.
func (s *Aggregator) update(now time.Time) {
	if now.Sub(s.workedAt) < workEvery {
		return
	}
	s.workedAt = now
	for host, r := range s.hosts {
		if now.Sub(r.at) > fresh {
			s.replace(host, report{})
			delete(s.hosts, host)
		}
	}
	listed := s.upstreams()
	keep := func(id string) bool { return listed.ByID[id] != nil }
	s.answers.Prune(keep)
	s.work = map[string]time.Duration{}
	typical := map[string]float64{}
	for id := range s.underWay {
		u := listed.ByID[id]
		if u == nil {
			delete(s.underWay, id)
			continue
		}
		if _, ok := typical[u.Service]; !ok {
			typical[u.Service] = s.answers.Median(listed.ForService(u.Service), now)
		}
		s.work[id] = time.Duration(s.answers.Estimate(u, typical[u.Service], now) * float64(time.Second))
	}
}
