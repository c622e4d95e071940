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
	// minResponses is the decayed number of responses below which the expected work of a
	// class counts as unknown.
	minResponses = 4.0
	// minWorkFraction bounds from below the part of a mean latency that counts as work. At
	// an upstream with 6 slots and a full queue of 24, a fifth of the time is work.
	minWorkFraction = 0.2
)

// responseSums are the decaying number of a class's responses and the sum of their
// latencies, in seconds.
type responseSums struct{ count, latency decay.Sum }

// workEstimator estimates the expected work of classes from the latencies of responses.
type workEstimator struct {
	byClass map[desired.Class]*responseSums
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
		s = &responseSums{}
		e.byClass[d.Class] = s
	}
	s.count.Add(float64(d.Answered), workTimeConstant, now)
	s.latency.Add(d.Latency.Seconds(), workTimeConstant, now)
}

// estimate returns the expected work, in seconds, of each class of a service for which
// enough is known.
//
// A mean latency includes queueing, which must not count as work: a queue would otherwise
// raise the estimates, and with them the demand. By Little's law the latencies summed per
// second are the mean number of requests at the upstreams. Those beyond the slots are
// queued, and requests of all classes wait equally long in an upstream's queue.
//
// Fast upstreams get more requests than slow ones. The mean latency is therefore that of an
// upstream of more than median speed, and is scaled to the median.
func (e *workEstimator) estimate(service string, room Room, now time.Time) map[desired.Class]float64 {
	var responses, latency float64
	for c, s := range e.byClass {
		if c.Service != service {
			continue
		}
		n := s.count.Value(workTimeConstant, now)
		if n < 0.01 { // no response for half a minute or longer
			delete(e.byClass, c)
			continue
		}
		responses += n
		latency += s.latency.Value(workTimeConstant, now)
	}
	if responses == 0 || room.Slots <= 0 {
		return nil
	}
	window := decay.EffectiveWindow(workTimeConstant, max(now.Sub(e.started), time.Second))
	queueing := max(latency-room.Slots*window, 0) / responses
	out := map[desired.Class]float64{}
	for c, s := range e.byClass {
		n := s.count.Value(workTimeConstant, now)
		if c.Service != service || n < minResponses {
			continue
		}
		mean := s.latency.Value(workTimeConstant, now) / n
		out[c] = max(mean-queueing, mean*minWorkFraction) * room.Capacity / room.Slots
	}
	return out
}
