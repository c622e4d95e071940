// Package keyload estimates what callers ask of each key and how fast each
// upstream works, from samples that all hosts report to the planner.
package keyload

import (
	"math"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/decay"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/worktime"
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
	// usualTimeConstant is the time constant of the usual load of a key. At 100
	// requests a second it rests on about a thousand samples, some fifty
	// for each of twenty owners, so that chance alone makes an owner look
	// 1.3 times as busy as it is only now and then.
	usualTimeConstant = 10 * time.Second
	// recentTimeConstant is the time constant against which a key's load is checked for
	// a change; it shows a key that became hot within half a second.
	recentTimeConstant = 1500 * time.Millisecond
	// changeSigma is how many standard deviations, and least how many requests, a
	// key's recent load must lie off its usual one to replace it.
	changeSigma, minChangeRequests = 3.0, 4.0
	// minKeyWeight is the weight below which a key is forgotten.
	minKeyWeight = 0.01
	// pruneInterval is how often that is done.
	pruneInterval = 10 * time.Second
)

type keyCounts struct{ usual, recent decay.Sum }

type serviceLoad struct {
	keys      map[int]*keyCounts
	workTimes *worktime.Estimator
	started   time.Time
	prunedAt  time.Time
}

// Estimator is not safe for concurrent use.
type Estimator struct {
	services map[string]*serviceLoad
}

// New returns an empty map.
func New() *Estimator { return &Estimator{services: map[string]*serviceLoad{}} }

// Add takes in samples of a service, each of which stands for weight
// requests.
func (m *Estimator) Add(name string, samples []Sample, weight float64, now time.Time) {
	s := m.services[name]
	if s == nil {
		s = &serviceLoad{keys: map[int]*keyCounts{}, workTimes: worktime.New(now), started: now, prunedAt: now}
		m.services[name] = s
	}
	for _, x := range samples {
		k := s.keys[x.Key]
		if k == nil {
			k = &keyCounts{}
			s.keys[x.Key] = k
		}
		k.usual.Add(weight, usualTimeConstant, now)
		k.recent.Add(weight, recentTimeConstant, now)
		if x.Upstream != "" && x.Latency > 0 {
			s.workTimes.Add(x.Upstream, weight, weight*x.Latency.Seconds(), now)
		}
	}
	s.prune(now)
}

// prune drops keys that nobody asks for any more.
func (s *serviceLoad) prune(now time.Time) {
	if now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	for k, v := range s.keys {
		if v.usual.Value(usualTimeConstant, now) < minKeyWeight {
			delete(s.keys, k)
		}
	}
}

// effectiveWindow is the time over which a sum with time constant tau has gathered.
func (s *serviceLoad) effectiveWindow(tau time.Duration, now time.Time) float64 {
	return decay.EffectiveWindow(tau, now.Sub(s.started))
}

// rate returns the requests a second for a key: its usual rate, unless the
// recent one lies further off than chance explains.
func (s *serviceLoad) rate(k *keyCounts, now time.Time) float64 {
	longSpan, shortSpan := s.effectiveWindow(usualTimeConstant, now), s.effectiveWindow(recentTimeConstant, now)
	if longSpan == 0 {
		return 0
	}
	usual := k.usual.Value(usualTimeConstant, now) / longSpan
	recent := k.recent.Value(recentTimeConstant, now)
	expected := usual * shortSpan
	if math.Abs(recent-expected) > max(changeSigma*math.Sqrt(expected), minChangeRequests) {
		return recent / shortSpan
	}
	return usual
}

// Load returns the requests a second for each key and how many a second each
// owner can answer. It also returns how many samples it rests on.
func (m *Estimator) Load(name string, owners []*catalogue.Upstream, now time.Time) (ownership.Load, float64) {
	out := ownership.Load{Capacity: map[string]float64{}}
	s := m.services[name]
	if s == nil {
		for _, u := range owners {
			out.Capacity[u.ID] = float64(u.Slots)
		}
		return out, 0
	}
	out.ByKey = make([]float64, ownership.KeySpaceSize)
	samples := 0.0
	for k, v := range s.keys {
		out.ByKey[k] = s.rate(v, now)
		samples += v.usual.Value(usualTimeConstant, now)
	}
	typical := s.workTimes.Median(owners, now)
	for _, u := range owners {
		out.Capacity[u.ID] = float64(u.Slots) / s.workTimes.Estimate(u, typical, now)
	}
	out.Share = loadShares(out, owners)
	return out, samples
}
