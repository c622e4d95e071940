package balance

import (
	"time"

	"github.com/papayatide/papayatide/internal/decay"
)

const (
	// queueingTimeConstant is the time constant of the sums by which queueing times are
	// corrected. The correction must follow the load within seconds.
	queueingTimeConstant = 8 * time.Second
	// maxQueueingSlope bounds queueingModel.slope.
	maxQueueingSlope = 1.5
)

// queueingModel corrects the queueing times computed from the requests in flight, whose counts are
// some 300 ms old, by a line: real = slope*computed + offset*occupancy. Times are in seconds at an
// upstream of median speed.
type queueingModel struct {
	slope, offset float64
	// responses, waited, computed and occupancy sum the responses for which the mean work time is
	// known from the load of all hosts: their number, their latency beyond that work time, their
	// computed queueing times and the occupancies.
	responses, waited, computed, occupancy decay.Sum
}

// latencySums sums the latencies of a class and the queueing times computed for them.
type latencySums struct{ n, latency, computed, computed2, product decay.Sum }

func (s *latencySums) add(latency, computed float64, now time.Time) {
	s.n.Add(1, queueingTimeConstant, now)
	s.latency.Add(latency, queueingTimeConstant, now)
	s.computed.Add(computed, queueingTimeConstant, now)
	s.computed2.Add(computed*computed, queueingTimeConstant, now)
	s.product.Add(latency*computed, queueingTimeConstant, now)
}

// deviations returns the sum of the squared deviations of the computed times from their mean, and
// that of their products with those of the latencies.
func (s *latencySums) deviations(now time.Time) (squares, products float64) {
	n := s.n.Value(queueingTimeConstant, now)
	if n == 0 {
		return 0, 0
	}
	computed := s.computed.Value(queueingTimeConstant, now)
	return s.computed2.Value(queueingTimeConstant, now) - computed*computed/n,
		s.product.Value(queueingTimeConstant, now) - computed*s.latency.Value(queueingTimeConstant, now)/n
}

// correct returns the corrected queueing time.
func (m *queueingModel) correct(computed, occupancy float64) float64 {
	return max(m.slope*computed+m.offset*occupancy, 0)
}

// add adds a response with its latency, for which the mean work time was known.
func (m *queueingModel) add(latency, workTime, computed, occupancy float64, now time.Time) {
	m.responses.Add(1, queueingTimeConstant, now)
	m.waited.Add(latency-workTime, queueingTimeConstant, now)
	m.computed.Add(computed, queueingTimeConstant, now)
	m.occupancy.Add(occupancy, queueingTimeConstant, now)
}

// update fits the line to the responses; mean is the mean work of a response in seconds. The
// offset needs the mean work time by the load of all hosts: without it, this host knows of no
// other requests, and the computed times stand.
func (m *queueingModel) update(classes classWorks, mean float64, now time.Time) {
	m.slope, m.offset = 1, 0
	n := m.responses.Value(queueingTimeConstant, now)
	occupancy := m.occupancy.Value(queueingTimeConstant, now)
	if n < minResponses || occupancy == 0 {
		return
	}
	squares := minResponses * mean * mean
	products := squares
	for _, cw := range classes {
		s, p := cw.latencies.deviations(now)
		squares, products = squares+s, products+p
	}
	if squares > 0 {
		m.slope = min(max(products/squares, 0), maxQueueingSlope)
	}
	unexplained := m.waited.Value(queueingTimeConstant, now) - m.slope*m.computed.Value(queueingTimeConstant, now)
	m.offset = max(unexplained/(occupancy+minResponses), 0)
}

// occupancy returns how far the upstream's slots are in use, for the part of queueing that the
// number of requests in flight does not show: 0 up to half of the slots, 1 from the last on.
func occupancy(inFlight, slots float64) float64 {
	return min(max((inFlight+1)/slots*2-1, 0), 1)
}
