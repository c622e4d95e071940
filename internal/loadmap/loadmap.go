// Package loadmap estimates what callers ask of each key and how fast each
// upstream works, from samples that all hosts report to the planner.
package loadmap

import (
	"math"
	"sort"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// Sample is one request to a keyed service.
type Sample struct {
	Key int
	// Upstream answered the request; empty if none did.
	Upstream string
	// Latency is how long the upstream took.
	Latency time.Duration
}

const (
	// memory is the time constant of the load estimate. With some 150
	// requests a second it rests on about 450 samples, a few dozen for
	// each of twenty owners; a burst on a few keys shows within a second.
	memory = 3 * time.Second
	// rescaleAt keeps the growing sample weights within a float's range.
	rescaleAt = 1e9
	// negligible is the weight below which a key is forgotten.
	negligible = 0.02
	// quantile of an upstream's latencies that stands for its speed: a low
	// one, as queueing only shows in the higher ones.
	quantile = 0.3
	// kept is how many latencies are kept for each upstream.
	kept = 32
	// fewest samples from which a speed is told; under it an upstream
	// counts as average.
	fewest = 6
	// slowest and fastest bound the speeds told, relative to the median.
	slowest, fastest = 0.35, 2.5
)

type service struct {
	byKey     map[int]float64
	latencies map[string][]time.Duration
	next      map[string]int
}

// Map is not safe for concurrent use.
type Map struct {
	start  time.Time
	weight float64
	by     map[string]*service
}

// New returns an empty map.
func New(now time.Time) *Map { return &Map{start: now, by: map[string]*service{}} }

// scale returns the weight of a sample taken now: instead of letting old
// samples fade, new ones count for more.
func (m *Map) scale(now time.Time) float64 {
	w := math.Exp(now.Sub(m.start).Seconds() / memory.Seconds())
	if w < rescaleAt {
		return w
	}
	for _, s := range m.by {
		for k, v := range s.byKey {
			if v /= w; v < negligible {
				delete(s.byKey, k)
			} else {
				s.byKey[k] = v
			}
		}
	}
	m.start = now
	return 1
}

// Add takes in samples of a service, each of which stands for weight
// requests.
func (m *Map) Add(name string, samples []Sample, weight float64, now time.Time) {
	s := m.by[name]
	if s == nil {
		s = &service{byKey: map[int]float64{}, latencies: map[string][]time.Duration{}, next: map[string]int{}}
		m.by[name] = s
	}
	w := m.scale(now) * weight
	for _, x := range samples {
		s.byKey[x.Key] += w
		if x.Upstream != "" && x.Latency > 0 {
			s.addLatency(x.Upstream, x.Latency)
		}
	}
}

func (s *service) addLatency(id string, l time.Duration) {
	ring := s.latencies[id]
	if len(ring) < kept {
		s.latencies[id] = append(ring, l)
		return
	}
	ring[s.next[id]] = l
	s.next[id] = (s.next[id] + 1) % kept
}

// Load returns the load of a service and the capacity of its owners.
func (m *Map) Load(name string, owners []*catalogue.Upstream, now time.Time) ownership.Load {
	out := ownership.Load{Capacity: map[string]float64{}}
	s := m.by[name]
	if s == nil {
		s = &service{}
	}
	w := m.scale(now)
	if len(s.byKey) > 0 {
		out.ByKey = make([]float64, ownership.Keys)
		for k, v := range s.byKey {
			out.ByKey[k] = v / w
		}
	}
	speeds := s.speeds(owners)
	for _, u := range owners {
		out.Capacity[u.ID] = float64(u.Slots) * speeds[u.ID]
	}
	return out
}

// speeds returns each upstream's speed relative to the median.
func (s *service) speeds(owners []*catalogue.Upstream) map[string]float64 {
	typical := map[string]time.Duration{}
	var all []time.Duration
	for _, u := range owners {
		ls := s.latencies[u.ID]
		if len(ls) < fewest {
			continue
		}
		sorted := append([]time.Duration(nil), ls...)
		sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
		l := sorted[int(quantile*float64(len(sorted)))]
		typical[u.ID] = l
		all = append(all, l)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	out := map[string]float64{}
	for _, u := range owners {
		out[u.ID] = 1
		if l := typical[u.ID]; l > 0 {
			out[u.ID] = min(max(float64(all[len(all)/2])/float64(l), slowest), fastest)
		}
	}
	return out
}
