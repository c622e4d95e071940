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
	// The sums are over the responses for which the work time is known from the load of all hosts:
	// their number, their latency beyond that work time, their computed queueing times, the squares
	// of these, the products of both, and the occupancies.
	responses, waited, computed, computed2, product, occupancy decay.Sum
}

// correct returns the corrected queueing time.
func (m *queueingModel) correct(computed, occupancy float64) float64 {
	return max(m.slope*computed+m.offset*occupancy, 0)
}

// add adds a response with its latency, for which the work time was known.
func (m *queueingModel) add(latency, workTime, computed, occupancy float64, now time.Time) {
	waited := latency - workTime
	m.responses.Add(1, queueingTimeConstant, now)
	m.waited.Add(waited, queueingTimeConstant, now)
	m.computed.Add(computed, queueingTimeConstant, now)
	m.computed2.Add(computed*computed, queueingTimeConstant, now)
	m.product.Add(waited*computed, queueingTimeConstant, now)
	m.occupancy.Add(occupancy, queueingTimeConstant, now)
}

// update fits the line to the responses; mean is the mean work of a response in seconds. The work
// times are needed for it: without the load of all hosts, this host knows of no other requests, and
// the computed times stand.
func (m *queueingModel) update(mean float64, now time.Time) {
	m.slope, m.offset = 1, 0
	n := m.responses.Value(queueingTimeConstant, now)
	occupancy := m.occupancy.Value(queueingTimeConstant, now)
	if n < minResponses || occupancy == 0 {
		return
	}
	waited, computed := m.waited.Value(queueingTimeConstant, now), m.computed.Value(queueingTimeConstant, now)
	prior := minResponses * mean * mean
	squares := prior + m.computed2.Value(queueingTimeConstant, now) - computed*computed/n
	products := prior + m.product.Value(queueingTimeConstant, now) - waited*computed/n
	if squares > 0 {
		m.slope = min(max(products/squares, 0), maxQueueingSlope)
	}
	m.offset = max((waited-m.slope*computed)/(occupancy+minResponses), 0)
}

// occupancy returns how far the upstream's slots are in use, for the part of queueing that the
// number of requests in flight does not show: 0 up to half of the slots, 1 from the last on.
func occupancy(inFlight, slots float64) float64 {
	return min(max((inFlight+1)/slots*2-1, 0), 1)
}
