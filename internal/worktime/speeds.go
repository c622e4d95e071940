package worktime

import (
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/decay"
)

const (
	// seedTimeConstant is the time constant of the weight of a seed. A machine keeps its speed;
	// the seed only stands in until enough responses have been measured.
	seedTimeConstant = 30 * time.Second
	// maxSeedResponses bounds the weight of a seed, and responsesPerSeed own responses replace one
	// of the seed's, so that some seconds of responses outweigh it if the speed has changed.
	maxSeedResponses = 20
	responsesPerSeed = 4
	// maxSpeedAge is the age of the newest response from which on a speed is not passed on.
	maxSpeedAge = time.Minute
)

// Speed is an upstream's estimated speed, as one host passes it to another.
type Speed struct {
	ID string
	// Speed is relative to an upstream with the service's median work time.
	Speed float64
	// Age is that of the newest response that it is based on, Responses their decayed number.
	Age       time.Duration
	Responses float64
}

// seed is a speed received from another host.
type seed struct {
	speed      float64
	responses  decay.Sum
	newestSeen time.Time
}

// weight returns the weight of the seed beside n responses.
func (s *seed) weight(n float64, now time.Time) float64 {
	return max(s.responses.Value(seedTimeConstant, now)-n/responsesPerSeed, 0)
}

// Speeds returns the speeds of the upstreams that are known from responses or seeds no older than
// maxSpeedAge.
func (e *Estimator) Speeds(ups []*catalogue.Upstream, now time.Time) []Speed {
	median := e.Median(ups, now)
	var out []Speed
	for _, u := range ups {
		_, n := e.observed(u, now)
		var newest time.Time
		if n > 0 {
			newest = e.byID[u.ID].newest
		}
		if s := e.seeds[u.ID]; s != nil {
			n += s.weight(n, now)
			if s.newestSeen.After(newest) {
				newest = s.newestSeen
			}
		}
		if age := now.Sub(newest); n >= 1 && age <= maxSpeedAge {
			out = append(out, Speed{ID: u.ID, Speed: median / e.Estimate(u, median, now), Age: age, Responses: n})
		}
	}
	return out
}

// Seed replaces the speeds of upstreams that another host has estimated. They count like
// responses, fewer with time, beside those that are added. Speeds out of range are ignored.
func (e *Estimator) Seed(speeds []Speed, now time.Time) {
	if e.seeds == nil {
		e.seeds = map[string]*seed{}
	}
	for _, s := range speeds {
		if !(s.Speed >= minSpeed && s.Speed <= maxSpeed) || s.Age > maxSpeedAge || !(s.Responses > 0) {
			continue
		}
		next := &seed{speed: s.Speed, newestSeen: now.Add(-s.Age)}
		next.responses.Add(min(s.Responses, maxSeedResponses), seedTimeConstant, now)
		e.seeds[s.ID] = next
	}
	for id, s := range e.seeds {
		if now.Sub(s.newestSeen) > maxSpeedAge {
			delete(e.seeds, id)
		}
	}
}

// SeedFrom takes over the seeds of another estimator.
func (e *Estimator) SeedFrom(other *Estimator) { e.seeds = other.seeds }
