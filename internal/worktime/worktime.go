// Package worktime estimates how long upstreams work on a request, from how
// long their answers take.
package worktime

import (
	"sort"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/decay"
)

const (
	// timeConstant is the time constant of an upstream's answers.
	timeConstant = 8 * time.Second
	// priorWeight is how many answers the typical work time counts for beside an
	// upstream's own.
	priorWeight = 4.0
	// minSpeed and fastest bound the speeds told, relative to the typical.
	minSpeed, maxSpeed = 0.15, 2.0
	// defaultWorkTimeS is assumed of a service before any answer was seen, in seconds;
	// only the proportions matter then.
	defaultWorkTimeS = 0.2
)

type responseSums struct{ count, latency decay.Sum }

// Estimator is not safe for concurrent use.
type Estimator struct {
	byID    map[string]*responseSums
	started time.Time
}

// New returns an estimator that hears of answers from now on.
func New(now time.Time) *Estimator {
	return &Estimator{byID: map[string]*responseSums{}, started: now}
}

// Add takes in so many answers of an upstream that took so many seconds
// together.
func (e *Estimator) Add(id string, answers, seconds float64, now time.Time) {
	s := e.byID[id]
	if s == nil {
		s = &responseSums{}
		e.byID[id] = s
	}
	s.count.Add(answers, timeConstant, now)
	s.latency.Add(seconds, timeConstant, now)
}

// Estimate returns the seconds that an upstream works on a request, typical being
// the usual time of its service.
//
// What callers see is longer where requests queue. With L the mean latency
// and N the mean number of requests at the upstream, which by Little's law
// is the latency summed over a second, the work takes L if N is within its
// slots, and L·slots/N otherwise.
func (e *Estimator) Estimate(u *catalogue.Upstream, typical float64, now time.Time) float64 {
	own, n := e.observed(u, now)
	t := (own*n + typical*priorWeight) / (n + priorWeight)
	return min(max(t, typical/maxSpeed), typical/minSpeed)
}

// observed returns an upstream's work time by its own answers, and how many there
// are.
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
	atOnce := total / decay.EffectiveWindow(timeConstant, now.Sub(e.started))
	return total / n * min(1, float64(u.Slots)/atOnce), n
}

// Median returns the median work time of the upstreams of a service.
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
	return all[len(all)/2]
}

// Prune forgets upstreams that keep does not know.
func (e *Estimator) Prune(keep func(id string) bool) {
	for id := range e.byID {
		if !keep(id) {
			delete(e.byID, id)
		}
	}
}
