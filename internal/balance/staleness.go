package balance

import (
	"time"

	"github.com/papayatide/papayatide/internal/decay"
)

const (
	// peerMeanTimeConstant is the time constant of an upstream's mean load by the other hosts. It
	// covers several swings of all hosts between upstreams, which last as long as load data is old.
	peerMeanTimeConstant = 8 * time.Second
	// peerLoadDelay is the mean age of the other hosts' load statistics when their sum arrives:
	// half of the interval in which a host sends its own.
	peerLoadDelay = 165 * time.Millisecond
)

// peerMean is the decaying mean of an upstream's peer loads. inFlight and work, in seconds, are the
// means at the last sample.
type peerMean struct {
	samples, inFlightSum, workSum decay.Sum
	inFlight, work                float64
}

func (m *peerMean) add(load PeerLoad, now time.Time) {
	m.samples.Add(1, peerMeanTimeConstant, now)
	m.inFlightSum.Add(float64(load.InFlight), peerMeanTimeConstant, now)
	m.workSum.Add(load.WorkInFlight.Seconds(), peerMeanTimeConstant, now)
	n := m.samples.Value(peerMeanTimeConstant, now)
	m.inFlight, m.work = m.inFlightSum.Value(peerMeanTimeConstant, now)/n, m.workSum.Value(peerMeanTimeConstant, now)/n
}

// known reports whether there is a sample.
func (m *peerMean) known() bool { return m.samples != (decay.Sum{}) }

// peersInFlight returns the expected number of the other hosts' requests at the upstream, and the
// sum of their expected work in seconds. each is the mean expected work of a request, in seconds; 0
// if it is not known. Of the requests in the load data, the part that the upstream has finished since
// is replaced by the same part of its mean load; see docs/design/uneven-upstreams.md.
func (st *upstreamState) peersInFlight(slots, each, pace float64, now time.Time) (n, work float64) {
	n, work = float64(max(st.peerLoad.InFlight, 0)), st.peerLoad.WorkInFlight.Seconds()
	if work <= 0 {
		work = n * each
	}
	if each == 0 {
		each = st.peerLoad.WorkTime.Seconds()
	}
	mean := &st.work.peers
	if !mean.known() {
		return n, work
	}
	drain := max(work/slots, each) * pace
	finished := 1.0
	if age := (now.Sub(st.peerLoadAt) + peerLoadDelay).Seconds(); age < drain {
		finished = age / drain
	}
	meanWork := mean.work
	if meanWork <= 0 {
		meanWork = mean.inFlight * each
	}
	return n + finished*(mean.inFlight-n), work + finished*(meanWork-work)
}
