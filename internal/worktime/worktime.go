// Package worktime estimates the work time of upstreams from the latencies of their
// responses: how long an upstream processes one request, without queueing (the
// service time of queueing theory).
//
// The mean latency L includes queueing. With N the mean number of requests at the upstream, by
// Little's law the latency summed per second, the work time is L if N is at most the number of
// slots, else L*slots/N. If samples of the number of requests are known, it is L times the part of
// them that was in work, which also covers queueing while N varies around the number of slots.
package worktime

import (
	"sort"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/decay"
)

const (
	// timeConstant is the time constant of the decaying sums of responses.
	timeConstant = 8 * time.Second
	// priorWeight is the weight of the service's median work time in an estimate, in
	// responses. Upstreams with fewer responses do not count for the median.
	priorWeight = 4.0
	// minSpeed and maxSpeed bound an upstream's estimated speed, relative to that of an
	// upstream with the service's median work time.
	minSpeed, maxSpeed = 0.15, 2.0
	// defaultWorkTimeS is the work time, in seconds, assumed for a service without
	// measurements. All its upstreams then count as equally fast, and the value cancels
	// out of their load shares (see package keyload).
	defaultWorkTimeS = 0.2
)

// responseSums are the decaying number of an upstream's responses and the sum of their
// latencies, in seconds.
type responseSums struct {
	count, latency decay.Sum
	// inFlight and running sum the requests at the upstream and those of them that it works on,
	// over the calls of AddOccupancy.
	inFlight, running decay.Sum
	// newest is when the newest response was added.
	newest time.Time
}

// Estimator estimates work times by upstream. It is not safe for concurrent use.
type Estimator struct {
	byID    map[string]*responseSums
	seeds   map[string]*seed
	started time.Time
}

// New returns an empty estimator whose measurements start at now.
func New(now time.Time) *Estimator {
	return &Estimator{byID: map[string]*responseSums{}, started: now}
}

// Add adds a number of responses of an upstream, and the sum of their latencies in
// seconds.
func (e *Estimator) Add(id string, responses, seconds float64, now time.Time) {
	s := e.sums(id)
	s.count.Add(responses, timeConstant, now)
	s.latency.Add(seconds, timeConstant, now)
	s.newest = now
}

// AddOccupancy adds a sample of the number of requests at an upstream. Calls are to be evenly
// spaced in time.
func (e *Estimator) AddOccupancy(u *catalogue.Upstream, inFlight float64, now time.Time) {
	s := e.sums(u.ID)
	s.inFlight.Add(inFlight, timeConstant, now)
	s.running.Add(min(inFlight, float64(u.Slots)), timeConstant, now)
}

func (e *Estimator) sums(id string) *responseSums {
	s := e.byID[id]
	if s == nil {
		s = &responseSums{}
		e.byID[id] = s
	}
	return s
}

// Estimate returns the estimated work time of an upstream, in seconds: the mean of its own
// observed work time and its service's median (see Median), weighted by the number of
// responses, and of the speed that another host has estimated (see Seed). The result is between median/maxSpeed and median/minSpeed.
func (e *Estimator) Estimate(u *catalogue.Upstream, median float64, now time.Time) float64 {
	observed, n := e.observed(u, now)
	total, weight := observed*n+median*priorWeight, n+priorWeight
	if s := e.seeds[u.ID]; s != nil {
		seedWeight := s.weight(n, now)
		total, weight = total+median/s.speed*seedWeight, weight+seedWeight
	}
	t := total / weight
	return min(max(t, median/maxSpeed), median/minSpeed)
}

// observed returns an upstream's work time by its own responses, in seconds, and their decayed
// number; zeros if there are too few. The package comment states how queueing is left out.
func (e *Estimator) observed(u *catalogue.Upstream, now time.Time) (float64, float64) {
	s := e.byID[u.ID]
	if s == nil {
		return 0, 0
	}
	n := s.count.Value(timeConstant, now)
	total := s.latency.Value(timeConstant, now)
	if n < 1 {
		return 0, 0
	}
	if inFlight := s.inFlight.Value(timeConstant, now); inFlight > 0 {
		return total / n * s.running.Value(timeConstant, now) / inFlight, n
	}
	concurrency := total / decay.EffectiveWindow(timeConstant, now.Sub(e.started))
	return total / n * min(1, float64(u.Slots)/concurrency), n
}

// Median returns the median of the upstreams' observed work times, in seconds, or
// defaultWorkTimeS if none has enough responses.
func (e *Estimator) Median(ups []*catalogue.Upstream, now time.Time) float64 {
	var all []float64
	for _, u := range ups {
		if t, n := e.observed(u, now); n >= priorWeight {
			all = append(all, t)
		}
	}
	if len(all) == 0 {
		return defaultWorkTimeS
	}
	sort.Float64s(all)
	return (all[(len(all)-1)/2] + all[len(all)/2]) / 2
}

// Prune drops upstreams for which keep returns false.
func (e *Estimator) Prune(keep func(id string) bool) {
	for id := range e.byID {
		if !keep(id) {
			delete(e.byID, id)
		}
	}
	for id := range e.seeds {
		if !keep(id) {
			delete(e.seeds, id)
		}
	}
}
