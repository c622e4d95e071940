package shares

import (
	"time"

	"github.com/papayatide/papayatide/internal/decay"
	"github.com/papayatide/papayatide/internal/desired"
)

const (
	// workTimeConstant is the time constant of the sums from which expected work is
	// estimated; the same as for the work times of upstreams (package worktime).
	workTimeConstant = 8 * time.Second
	// recentTimeConstant is that of the sums from which the slots in use are estimated. They may
	// double within a second or two.
	recentTimeConstant = time.Second
	// minResponses is the decayed number of responses below which the expected work of a
	// class counts as unknown.
	minResponses = 4.0
	// minWorkFraction bounds from below the part of a mean latency that counts as work. At
	// an upstream with 6 slots and a full queue of 24, a fifth of the time is work.
	minWorkFraction = 0.2
	// calmUtilisation is the part of the slots up to which requests hardly queue: with 6 slots
	// and random arrivals they wait for 5% of their work at 0.5.
	calmUtilisation = 0.5
	// maxUnevenness bounds the factor by which a latency exceeds the work while some upstreams
	// queue requests and others have free slots. At a utilisation of 0.85, 6 slots and random
	// arrivals it is 1.4 for constant and 1.7 for exponentially distributed work.
	maxUnevenness = 1.5
)

// classEstimate is the estimate of one class.
type classEstimate struct {
	// responses and latency, in seconds, are those since the last estimate.
	responses, latency float64
	// recentCount and recentLatency are sums with recentTimeConstant; count and busy, the
	// latencies without queueing in seconds, are sums with workTimeConstant.
	recentCount, recentLatency, count, busy decay.Sum
	// work is the expected work in seconds, estimated at estimatedAt; 0 if it is not known.
	work        float64
	estimatedAt time.Time
}

// workEstimator estimates the expected work of classes from the latencies of responses.
type workEstimator struct {
	byClass map[desired.Class]*classEstimate
	started time.Time
}

// add adds a class's responses.
func (e *workEstimator) add(d Demand, now time.Time) {
	if d.Answered <= 0 {
		return
	}
	if e.started.IsZero() {
		e.started = now
	}
	s := e.byClass[d.Class]
	if s == nil {
		s = &classEstimate{}
		e.byClass[d.Class] = s
	}
	s.responses += float64(d.Answered)
	s.latency += d.Latency.Seconds()
	s.recentCount.Add(float64(d.Answered), recentTimeConstant, now)
	s.recentLatency.Add(d.Latency.Seconds(), recentTimeConstant, now)
}

// estimate returns the expected work, in seconds, of each class of a service for which enough is
// known: the mean latency less queueing (by Little's law, the requests beyond the slots), scaled
// from the upstreams' mean speed to the median.
func (e *workEstimator) estimate(service string, room Room, now time.Time) map[desired.Class]float64 {
	if room.Slots <= 0 {
		return nil
	}
	var responses, inUse float64 // per second
	window := decay.EffectiveWindow(recentTimeConstant, max(now.Sub(e.started), recentTimeConstant))
	for c, s := range e.byClass {
		if c.Service == service {
			responses += s.recentCount.Value(recentTimeConstant, now) / window
			inUse += s.recentLatency.Value(recentTimeConstant, now) / window
		}
	}
	queueing := 0.0
	if inUse > room.Slots {
		queueing = (inUse - room.Slots) / responses
	}
	out := map[desired.Class]float64{}
	for c, s := range e.byClass {
		if c.Service != service {
			continue
		}
		s.count.Add(s.responses, workTimeConstant, now)
		s.busy.Add(max(s.latency-s.responses*queueing, s.latency*minWorkFraction), workTimeConstant, now)
		s.responses, s.latency = 0, 0
		switch n := s.count.Value(workTimeConstant, now); {
		case n < 0.01: // no response for half a minute or longer
			delete(e.byClass, c)
		case n >= minResponses:
			s.update(s.busy.Value(workTimeConstant, now)/n, inUse < calmUtilisation*room.Slots, now)
			out[c] = s.work * room.Capacity / room.Slots
		}
	}
	return out
}

// update replaces the expected work by the observed one, within the bounds for a rise.
func (s *classEstimate) update(observed float64, calm bool, now time.Time) {
	if s.work > 0 && observed > s.work {
		rise := 0.0
		if calm {
			rise = (observed - s.work) * min(now.Sub(s.estimatedAt).Seconds()/workTimeConstant.Seconds(), 1)
		}
		observed = max(s.work+rise, observed/maxUnevenness)
	}
	s.work, s.estimatedAt = observed, now
}
