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
	// memory is the time constant of an upstream's answers.
	memory = 8 * time.Second
	// prior is how many answers the typical work time counts for beside an
	// upstream's own.
	prior = 4.0
	// slowest and fastest bound the speeds told, relative to the typical.
	slowest, fastest = 0.15, 2.0
	// fallback is assumed of a service before any answer was seen, in seconds;
	// only the proportions matter then.
	fallback = 0.2
)

type sums struct{ count, latency decay.Sum }

// Estimator is not safe for concurrent use.
type Estimator struct {
	by      map[string]*sums
	started time.Time
}

// New returns an estimator that hears of answers from now on.
func New(now time.Time) *Estimator {
	return &Estimator{by: map[string]*sums{}, started: now}
}

// Add takes in so many answers of an upstream that took so many seconds
// together.
func (e *Estimator) Add(id string, answers, seconds float64, now time.Time) {
	s := e.by[id]
	if s == nil {
		s = &sums{}
		e.by[id] = s
	}
	s.count.Add(answers, memory, now)
	s.latency.Add(seconds, memory, now)
}

// Estimate returns the seconds that an upstream works on a request, typical being
// the usual time of its service.
//
// What callers see is longer where requests queue. With L the mean latency
// and N the mean number of requests at the upstream, which by Little's law
// is the latency summed over a second, the work takes L if N is within its
// slots, and L·slots/N otherwise.
func (e *Estimator) Estimate(u *catalogue.Upstream, typical float64, now time.Time) float64 {
	own, n := e.own(u, now)
	t := (own*n + typical*prior) / (n + prior)
	return min(max(t, typical/fastest), typical/slowest)
}

// own returns an upstream's work time by its own answers, and how many there
// are.
func (e *Estimator) own(u *catalogue.Upstream, now time.Time) (float64, float64) {
	s := e.by[u.ID]
	if s == nil {
		return 0, 0
	}
	n := s.count.Value(memory, now)
	total := s.latency.Value(memory, now)
	if n < 1 {
		return 0, 0
	}
	atOnce := total / decay.EffectiveWindow(memory, now.Sub(e.started))
	return total / n * min(1, float64(u.Slots)/atOnce), n
}

// Median returns the median work time of the upstreams of a service.
func (e *Estimator) Median(ups []*catalogue.Upstream, now time.Time) float64 {
	var all []float64
	for _, u := range ups {
		if t, n := e.own(u, now); n >= prior {
			all = append(all, t)
		}
	}
	if len(all) == 0 {
		return fallback
	}
	sort.Float64s(all)
	return all[len(all)/2]
}

// Prune forgets upstreams that keep does not know.
func (e *Estimator) Prune(keep func(id string) bool) {
	for id := range e.by {
		if !keep(id) {
			delete(e.by, id)
		}
	}
}
