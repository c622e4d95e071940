package keyload

import (
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/worktime"
)

// Speeds returns the speeds of a service's upstreams, as far as they are known.
func (e *Estimator) Speeds(service string, ups []*catalogue.Upstream, now time.Time) []worktime.Speed {
	if w := e.workTimes(service); w != nil {
		return w.Speeds(ups, now)
	}
	return nil
}

// Seed sets the speeds of a service's upstreams that another planner has estimated. Before the
// first sample they are kept apart from the loads: rates are counted from that sample on.
func (e *Estimator) Seed(service string, speeds []worktime.Speed, now time.Time) {
	w := e.workTimes(service)
	if w == nil {
		w = worktime.New(now)
		e.seeded[service] = w
	}
	w.Seed(speeds, now)
}

// workTimes returns the estimator of the service's work times, with or without samples; nil if
// there is none.
func (e *Estimator) workTimes(service string) *worktime.Estimator {
	if s := e.services[service]; s != nil {
		return s.workTimes
	}
	return e.seeded[service]
}

// startWorkTimes returns the estimator for a service that gets its first sample at now.
func (e *Estimator) startWorkTimes(service string, now time.Time) *worktime.Estimator {
	w := worktime.New(now)
	if seeded := e.seeded[service]; seeded != nil {
		w.SeedFrom(seeded)
		delete(e.seeded, service)
	}
	return w
}
