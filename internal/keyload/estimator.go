// Package keyload estimates the request rate of each key and the capacity of each
// upstream, from samples that all hosts send to the planner.
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
	// Upstream is the upstream that responded; empty if none did.
	Upstream string
	// Latency is the upstream's response time.
	Latency time.Duration
}

const (
	// usualTimeConstant is the time constant of a key's usual rate. It is long
	// enough that random variation rarely makes an owner look overloaded: at
	// 100 requests a second it averages over some 50 samples for each of
	// twenty owners.
	usualTimeConstant = 10 * time.Second
	// recentTimeConstant is the time constant of a key's recent rate, which
	// shows within a second that a key has become hot.
	recentTimeConstant = 1500 * time.Millisecond
	// The recent rate replaces the usual rate if it deviates from it by more
	// than changeSigma standard deviations and minChangeRequests requests.
	changeSigma, minChangeRequests = 3.0, 4.0
	// minKeyRequests is the decayed number of requests below which a key is
	// dropped.
	minKeyRequests = 0.01
	pruneInterval  = 10 * time.Second
)

// keyCounts are decayed numbers of requests for a key.
type keyCounts struct{ usual, recent decay.Sum }

type serviceLoad struct {
	keys map[int]*keyCounts
	// workTimes estimates each upstream's processing time per request, without
	// queueing.
	workTimes *worktime.Estimator
	started   time.Time
	prunedAt  time.Time
}

// Estimator estimates the load of all keyed services. It is not safe for
// concurrent use.
type Estimator struct {
	services map[string]*serviceLoad
	// seeded holds the speeds of services without samples; see Seed.
	seeded map[string]*worktime.Estimator
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{services: map[string]*serviceLoad{}, seeded: map[string]*worktime.Estimator{}}
}

// Add adds samples of a service, each of which represents weight requests.
func (e *Estimator) Add(service string, samples []Sample, weight float64, now time.Time) {
	s := e.services[service]
	if s == nil {
		s = &serviceLoad{keys: map[int]*keyCounts{}, workTimes: e.startWorkTimes(service, now), started: now, prunedAt: now}
		e.services[service] = s
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

// prune drops keys that get no requests any more, once in pruneInterval.
func (s *serviceLoad) prune(now time.Time) {
	if now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	for k, v := range s.keys {
		if v.usual.Value(usualTimeConstant, now) < minKeyRequests {
			delete(s.keys, k)
		}
	}
}

// effectiveWindow returns the length in seconds of the window whose plain request
// count would equal the decayed sum with time constant tau at a constant rate.
func (s *serviceLoad) effectiveWindow(tau time.Duration, now time.Time) float64 {
	return decay.EffectiveWindow(tau, now.Sub(s.started))
}

// rate returns the requests a second for a key: its usual rate, or its recent
// rate if that deviates by more than random variation explains.
func (s *serviceLoad) rate(k *keyCounts, now time.Time) float64 {
	usualWindow, recentWindow := s.effectiveWindow(usualTimeConstant, now), s.effectiveWindow(recentTimeConstant, now)
	if usualWindow == 0 {
		return 0
	}
	usual := k.usual.Value(usualTimeConstant, now) / usualWindow
	recent := k.recent.Value(recentTimeConstant, now)
	expected := usual * recentWindow
	if math.Abs(recent-expected) > max(changeSigma*math.Sqrt(expected), minChangeRequests) {
		return recent / recentWindow
	}
	return usual
}

// Load returns the load and the owners' capacities in requests a second, and the
// decayed number of requests that they are based on. Before the first sample of
// the service, capacities are numbers of slots, times the speeds that another planner has
// estimated.
func (e *Estimator) Load(service string, owners []*catalogue.Upstream, now time.Time) (ownership.Load, float64) {
	out := ownership.Load{Capacity: map[string]float64{}}
	s := e.services[service]
	if s == nil {
		for _, u := range owners {
			out.Capacity[u.ID] = float64(u.Slots)
		}
		if w := e.seeded[service]; w != nil {
			median := w.Median(owners, now)
			for _, u := range owners {
				out.Capacity[u.ID] *= median / w.Estimate(u, median, now)
			}
		}
		return out, 0
	}
	out.ByKey = make([]float64, ownership.KeySpaceSize)
	requests := 0.0
	for k, v := range s.keys {
		out.ByKey[k] = s.rate(v, now)
		requests += v.usual.Value(usualTimeConstant, now)
	}
	median := s.workTimes.Median(owners, now)
	for _, u := range owners {
		out.Capacity[u.ID] = float64(u.Slots) / s.workTimes.Estimate(u, median, now)
	}
	out.Weight = loadWeights(out, owners)
	return out, requests
}
