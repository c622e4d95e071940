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
	// maxUnevenness bounds the factor by which the mean latency of a service exceeds its mean work
	// while some upstreams queue requests and others have free slots. At a utilisation of 0.85, 6 slots and random
	// arrivals it is 1.4 for constant and 1.7 for exponentially distributed work.
	maxUnevenness = 1.5
	// settlingLatencies is the number of its own latencies after its first response at which the
	// estimate of a class has settled. Earlier, long requests are underrepresented, as those sent
	// last have not been answered. With 5 instead of 3, a class of 160 ms that starts together
	// with a class of 930 ms came out 3% longer, as requests had begun to queue.
	settlingLatencies = 3
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
	// firstAt is when the first responses were added. settled is set once that is
	// settlingLatencies ago.
	firstAt time.Time
	settled bool
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
		s = &classEstimate{firstAt: now}
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
	load := e.recentLoad(service, now)
	queueing := 0.0
	if load.inUse > room.Slots {
		queueing = (load.inUse - room.Slots) / load.responses
	}
	var responses, busy float64
	for c, s := range e.byClass {
		if c.Service == service {
			s.observe(queueing, min(room.Slots/load.expected, 1), now)
			responses += s.count.Value(workTimeConstant, now)
			busy += s.busy.Value(workTimeConstant, now)
		}
	}
	// Requests of all classes wait in the same queues, so uneven queueing adds about the same time
	// to each of them: for a class of short requests, a multiple of its work.
	b := riseBounds{calm: load.inUse < calmUtilisation*room.Slots, fits: load.expected < room.Slots}
	if responses > 0 {
		b.unevenQueueing = busy / responses * (1 - 1/maxUnevenness)
	}
	out := map[desired.Class]float64{}
	for c, s := range e.byClass {
		if c.Service != service {
			continue
		}
		switch n := s.count.Value(workTimeConstant, now); {
		case n < 0.01: // no response for half a minute or longer
			delete(e.byClass, c)
		case n >= minResponses:
			s.update(s.busy.Value(workTimeConstant, now)/n, b, now)
			out[c] = s.work * room.Capacity / room.Slots
		}
	}
	return out
}

// recentLoad is the load of a service over the last recentTimeConstant: its responses per second,
// the requests in flight, and those in work by the present estimates, both by Little's law.
type recentLoad struct{ responses, inUse, expected float64 }

func (e *workEstimator) recentLoad(service string, now time.Time) recentLoad {
	var l recentLoad
	window := decay.EffectiveWindow(recentTimeConstant, max(now.Sub(e.started), recentTimeConstant))
	for c, s := range e.byClass {
		if c.Service == service {
			perSecond := s.recentCount.Value(recentTimeConstant, now) / window
			l.responses += perSecond
			l.expected += perSecond * s.work
			l.inUse += s.recentLatency.Value(recentTimeConstant, now) / window
		}
	}
	return l
}

// observe adds the latencies since the last estimate to the sums, less queueing, the mean of all
// classes, for each response. fitting is the fraction of the work of all classes together that
// fits into the slots.
func (s *classEstimate) observe(queueing, fitting float64, now time.Time) {
	busy := max(s.latency-s.responses*queueing, s.latency*minWorkFraction)
	// A class that is refused where queues are long waits less than the mean, so the work of a settled
	// class decreases only as far as its latency or the work beyond the slots shows.
	if s.settled && queueing > 0 {
		busy = max(busy, min(s.responses*s.work*fitting, s.latency))
	}
	s.count.Add(s.responses, workTimeConstant, now)
	s.busy.Add(busy, workTimeConstant, now)
	s.responses, s.latency = 0, 0
}

// riseBounds bounds the rise of settled estimates.
type riseBounds struct {
	// calm is set while requests hardly queue, fits while the expected work of all classes is less
	// than the slots can do: otherwise a longer latency shows queueing.
	calm, fits bool
	// unevenQueueing is the most by which uneven queueing lengthens a latency, in seconds.
	unevenQueueing float64
}

// update replaces the expected work by the observed one, within the bounds for a rise once the
// estimate has settled.
func (s *classEstimate) update(observed float64, b riseBounds, now time.Time) {
	s.settled = s.settled || now.Sub(s.firstAt).Seconds() >= settlingLatencies*observed
	if s.settled && s.work > 0 && observed > s.work {
		bounded := s.work
		if b.calm {
			bounded += (observed - s.work) * min(now.Sub(s.estimatedAt).Seconds()/workTimeConstant.Seconds(), 1)
		}
		if b.fits {
			bounded = max(bounded, observed-b.unevenQueueing)
		}
		observed = bounded
	}
	s.work, s.estimatedAt = observed, now
}
