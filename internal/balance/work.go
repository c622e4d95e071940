package balance

import (
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/decay"
	"github.com/papayatide/papayatide/internal/desired"
)

const (
	// classTimeConstant is the time constant of the decaying sums of responses. Some callers'
	// requests take seven times as long as others; at one response per second the mean of 30 s
	// still varies by about a fifth.
	classTimeConstant = 30 * time.Second
	// minResponses is the number of responses from which on the mean of a class is used, and the
	// weight, in mean responses, of median speed in an estimate of an upstream's speed.
	minResponses = 4
	// minSpeed and maxSpeed bound the estimated speed of an upstream, relative to the median.
	minSpeed, maxSpeed = 0.15, 2.0
	// fleetWorkTTL is how long a value of SetClassWork replaces this host's own mean. It arrives
	// several times a second; after some seconds without, the host that sends it is gone.
	fleetWorkTTL = 5 * time.Second
	// minWork bounds the expected work of a class, of which 0 would mean that it is not known.
	minWork = time.Millisecond
	// refreshInterval is how often the means and medians of a service are computed. They cover
	// several seconds of responses.
	refreshInterval = 500 * time.Millisecond
)

// classWork holds the decaying number of a class's responses and the sum of their work at an
// upstream of median speed, in seconds.
type classWork struct {
	responses, work decay.Sum
	// learnt is the number of all responses.
	learnt int
	// fleetWork is the value of SetClassWork, 0 if there is none, fleetWorkAt its first use.
	fleetWork   time.Duration
	fleetWorkAt time.Time
}

// serviceWork is the expected work of the classes of one service, and the medians of its
// upstreams.
type serviceWork struct {
	classes map[desired.Class]*classWork
	// upstreams holds those that this host has sent requests to, by ID.
	upstreams map[string]*upstreamState
	// peerMedian is the median work time of the upstreams by the load of all hosts; ownMedian the
	// median time per unit of expected work by this host's own responses. 0 if not known.
	peerMedian time.Duration
	ownMedian  float64
	// mean is the mean expected work of the service's responses, in seconds; 0 if there are none.
	mean        float64
	refreshedAt time.Time
	// reports counts load reports, reportedFactors sums the work factors in them.
	reports, reportedFactors decay.Sum
	// reporters are the upstreams with the newest load reports; see recentReporters.
	reporters    [reporterCount]*catalogue.Upstream
	nextReporter int
	// queueing corrects computed queueing times.
	queueing queueingModel
}

func (p *Picker) serviceWork(service string) *serviceWork {
	w := p.work[service]
	if w == nil {
		w = &serviceWork{classes: map[desired.Class]*classWork{}, upstreams: map[string]*upstreamState{}}
		p.work[service] = w
	}
	return w
}

func (w *serviceWork) class(c desired.Class) *classWork {
	cw := w.classes[c]
	if cw == nil {
		cw = &classWork{}
		w.classes[c] = cw
	}
	return cw
}

func (w *serviceWork) prune(keep func(id string) bool) {
	for id, st := range w.upstreams {
		if !keep(id) && len(st.work.sendings) == 0 {
			delete(w.upstreams, id)
		}
	}
}

// SetClassWork sets the expected work of a class by the responses of all hosts of the data
// centre. For fleetWorkTTL from its first use it replaces the mean of this host's own responses.
func (p *Picker) SetClassWork(class desired.Class, work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cw := p.serviceWork(class.Service).class(class)
	cw.fleetWork, cw.fleetWorkAt = work, time.Time{}
}

// hasFleetWork reports whether the value of SetClassWork for the class counts.
func (w *serviceWork) hasFleetWork(class desired.Class, now time.Time) bool {
	cw := w.classes[class]
	return cw != nil && cw.fleetWork > 0 && now.Sub(cw.fleetWorkAt) <= fleetWorkTTL
}

// ExpectedWork returns the expected work of a class, and whether it is known.
func (p *Picker) ExpectedWork(class desired.Class, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceWork(class.Service).expected(class, now)
}

// expected returns the expected work of a class, and whether it is known.
func (w *serviceWork) expected(class desired.Class, now time.Time) (time.Duration, bool) {
	cw := w.classes[class]
	if cw == nil {
		return 0, false
	}
	if cw.fleetWorkAt.IsZero() {
		cw.fleetWorkAt = now
	}
	n := cw.responses.Value(classTimeConstant, now)
	if own := cw.learnt >= minResponses && n > 0; !own || w.hasFleetWork(class, now) {
		return cw.fleetWork, cw.fleetWork > 0
	}
	return max(toDuration(cw.work.Value(classTimeConstant, now)/n), minWork), true
}

// refreshMean computes the mean expected work of the service's responses.
func (w *serviceWork) refreshMean(now time.Time) {
	n, work := 0.0, 0.0
	for _, cw := range w.classes {
		n += cw.responses.Value(classTimeConstant, now)
		work += max(cw.work.Value(classTimeConstant, now), 0)
	}
	if n > 0 {
		w.mean = work / n
	}
}

// speed returns the upstream's speed relative to the median of its service; 1 if it is not known.
// The load of all hosts is preferred to this host's own responses.
func (w *serviceWork) speed(st *upstreamState, now time.Time) float64 {
	speed := 1.0
	if st.hasPeerLoad(now) && w.peerMedian > 0 && st.peerLoad.WorkTime > 0 {
		speed = w.peerMedian.Seconds() / st.peerLoad.WorkTime.Seconds()
	} else if pace := st.work.ownPace(w.mean, now); pace > 0 && w.ownMedian > 0 {
		speed = w.ownMedian / pace
	}
	return min(max(speed, minSpeed), maxSpeed)
}

// ownPace returns the time that the upstream took per unit of expected work, by this host's
// responses, weighted with minResponses mean ones as fast as expected; 0 if there are none.
func (w *upstreamWork) ownPace(mean float64, now time.Time) float64 {
	expected := w.expected.Value(classTimeConstant, now)
	if expected == 0 {
		return 0
	}
	prior := minResponses * mean
	return (w.taken.Value(classTimeConstant, now) + prior) / (expected + prior)
}

// refresh computes the means and medians, at most once per refreshInterval once there are some.
func (w *serviceWork) refresh(now time.Time) {
	if w.mean > 0 && now.Sub(w.refreshedAt) < refreshInterval {
		return
	}
	w.refreshedAt = now
	w.refreshMean(now)
	w.queueing.update(w.mean, now)
	var peer, own []float64
	for _, st := range w.upstreams {
		if st.hasPeerLoad(now) {
			st.work.peers.add(st.peerLoad, now)
		}
		if st.hasPeerLoad(now) && st.peerLoad.WorkTime > 0 {
			peer = append(peer, st.peerLoad.WorkTime.Seconds())
		}
		if pace := st.work.ownPace(w.mean, now); pace > 0 {
			own = append(own, pace)
		}
	}
	w.peerMedian, w.ownMedian = toDuration(median(peer)), median(own)
}

// median returns the median of xs, which it sorts; 0 if there are none.
func median(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return (xs[(len(xs)-1)/2] + xs[len(xs)/2]) / 2
}
