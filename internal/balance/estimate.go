package balance

import (
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
)

const (
	// workSmoothing is the weight of a new response in an estimated work time: a host of a
	// large fleet gets a few responses of a class per second.
	workSmoothing = 0.06
	// workQuantile is the quantile of the samples that is taken for the work time. Requests go
	// to the upstreams that look least busy by load data up to peerLoadTTL old, so they queue
	// for longer than expected, and the mean of the samples was up to four times the work.
	workQuantile = 0.3
	// minWorkFraction is the least fraction of a latency that counts as work, as the load data
	// may also be too high.
	minWorkFraction = 0.25
	// equalWeightSamples is how many of the first samples are averaged.
	equalWeightSamples = 5
	// medianInterval is how long a service's median work time is reused. New load data
	// arrives three times a second.
	medianInterval = 300 * time.Millisecond
)

// workTime is the estimated work time of requests at an upstream of median speed.
type workTime struct {
	typical time.Duration
	samples int
}

// add adds a sample. After the first ones, the estimate rises with each longer sample and
// falls with each shorter one, so that it approaches the workQuantile of them.
func (w *workTime) add(sample time.Duration) {
	w.samples++
	switch {
	case w.samples <= equalWeightSamples:
		w.typical += (sample - w.typical) / time.Duration(w.samples)
	case sample > w.typical:
		w.typical += time.Duration(workSmoothing * workQuantile * float64(w.typical))
	default:
		w.typical -= time.Duration(workSmoothing * (1 - workQuantile) * float64(w.typical))
	}
}

// classWork holds the work times by class, and by service over all classes.
type classWork struct {
	byClass   map[desired.Class]*workTime
	byService map[string]*serviceWork
}

// serviceWork is the mean work time of a service's requests, in the mix of classes in which
// this host gets responses, and the median of its upstreams' work times.
type serviceWork struct {
	mean     time.Duration
	samples  int
	median   time.Duration
	medianAt time.Time
}

// add adds a response of a class with the given work time.
func (s *serviceWork) add(work time.Duration) {
	s.samples++
	s.mean += time.Duration(max(1/float64(s.samples), workSmoothing) * float64(work-s.mean))
}

func newClassWork() classWork {
	return classWork{map[desired.Class]*workTime{}, map[string]*serviceWork{}}
}

func (c *classWork) service(name string) *serviceWork {
	s := c.byService[name]
	if s == nil {
		s = &serviceWork{}
		c.byService[name] = s
	}
	return s
}

// Estimate returns how long one more request of the class would queue at the upstream, and
// how long the upstream would work on it. known is false until this host has a response of
// the class.
func (p *Picker) Estimate(u *catalogue.Upstream, class desired.Class, now time.Time) (queueing, work time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	typical := p.classWork.byClass[class]
	if typical == nil {
		return 0, 0, false
	}
	slowness := p.slowness(u, now)
	if queued := 1 - p.freeSlots(u, now); queued > 0 {
		perRequest := slowness * float64(p.classWork.service(class.Service).mean)
		queueing = time.Duration(float64(queued) * perRequest / float64(u.Slots))
	}
	return queueing, time.Duration(slowness * float64(typical.typical)), true
}

// FreeSlots returns the upstream's slots less the requests in flight there from all hosts of
// the data centre; it is negative while requests queue.
func (p *Picker) FreeSlots(u *catalogue.Upstream, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freeSlots(u, now)
}

func (p *Picker) freeSlots(u *catalogue.Upstream, now time.Time) int {
	st := p.state(u.ID)
	free := u.Slots - st.limiter.InFlight()
	if st.hasPeerLoad(now) {
		free -= st.peerLoad.InFlight
	}
	return free
}

// RecordLatency records the latency of a response of the class. queueing is what Estimate
// returned when the request was sent.
func (p *Picker) RecordLatency(u *catalogue.Upstream, class desired.Class, latency, queueing time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sample := max(latency-queueing, time.Duration(minWorkFraction*float64(latency)))
	work := p.classWork.byClass[class]
	if work == nil {
		work = &workTime{}
		p.classWork.byClass[class] = work
	}
	work.add(time.Duration(float64(sample) / p.slowness(u, now)))
	p.classWork.service(class.Service).add(work.typical)
}

// slowness returns the upstream's work time relative to the median of its service, by the
// load data of the data centre; 1 if that is not known.
func (p *Picker) slowness(u *catalogue.Upstream, now time.Time) float64 {
	st := p.state(u.ID)
	if !st.hasPeerLoad(now) || st.peerLoad.WorkTime == 0 {
		return 1
	}
	median := p.medianWorkTime(u.Service, now)
	if median == 0 {
		return 1
	}
	return float64(st.peerLoad.WorkTime) / float64(median)
}

// medianWorkTime returns the median work time of the service's upstreams in this host's
// subset; 0 if none is known. It is computed at most once per medianInterval.
func (p *Picker) medianWorkTime(service string, now time.Time) time.Duration {
	s := p.classWork.service(service)
	if subset := p.subsets[service]; subset != nil && now.Sub(s.medianAt) >= medianInterval {
		var all []time.Duration
		for _, list := range [][]*catalogue.Upstream{subset.local, subset.remote} {
			for _, u := range list {
				if st := p.states[u.ID]; st != nil && st.hasPeerLoad(now) && st.peerLoad.WorkTime > 0 {
					all = append(all, st.peerLoad.WorkTime)
				}
			}
		}
		s.median, s.medianAt = 0, now
		if len(all) > 0 {
			slices.Sort(all)
			s.median = all[len(all)/2]
		}
	}
	return s.median
}
