package balance

import (
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
)

// loadReportTTL is how long an upstream's load report counts, with linearly falling weight:
// a machine that is slow for a moment is so for about 400 ms.
const loadReportTTL = 400 * time.Millisecond

// Estimate returns the expected queueing time and work time of one more request of a class at the
// upstream. known is false, and the work time 0, if the expected work of the class is not known.
// Without the load of other hosts, only this host's own requests count as queueing.
func (p *Picker) Estimate(u *catalogue.Upstream, class desired.Class, now time.Time) (queueing, work time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.estimate(p.state(u.ID), u, class, now)
	return e.queueing, e.work, e.known
}

// FreeSlots returns the upstream's slots less the requests in flight there from all hosts of
// the data centre; it is negative while requests queue.
func (p *Picker) FreeSlots(u *catalogue.Upstream, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.state(u.ID)
	free := u.Slots - st.limiter.InFlight()
	if st.hasPeerLoad(now) {
		free -= st.peerLoad.InFlight
	}
	return free
}

// estimate is the result of Estimate and what it is based on.
type estimate struct {
	queueing, work time.Duration
	known          bool
	// computed is the queueing time before its correction, in seconds at an upstream of median
	// speed; see queueingModel.
	computed, occupancy float64
}

// estimate is Estimate for the upstream of the given state.
func (p *Picker) estimate(st *upstreamState, u *catalogue.Upstream, class desired.Class, now time.Time) estimate {
	w := p.serviceWork(class.Service)
	w.refresh(now)
	expected, known := w.expected(class, now)
	pace := 1 / w.speed(st, now)
	if u.Cold(now) {
		pace *= slowStartLatencyFactor
	}
	reportWeight := st.work.reportWeight(now)
	slots := float64(u.Slots)
	inFlight, each := st.inFlight(slots, w.mean, pace, now)
	if reportWeight > 0 {
		report := st.work.report
		reported := report.Running + report.Waiting + len(st.work.sendings) - st.work.sendingsAtReport
		inFlight += reportWeight * (float64(max(reported, 0)) - inFlight)
		slots = float64(report.Slots)
	}
	e := estimate{known: known, computed: max(inFlight-slots+1, 0) / slots * each, occupancy: occupancy(inFlight, slots)}
	q := w.queueing.correct(e.computed, e.occupancy) * pace
	t := expected.Seconds() * pace
	if factor := w.momentaryFactor(st, now); q+t > 0 && factor != 1 {
		f := 1 + momentaryDelay(q+t, factor, reportWeight)/(q+t)
		q, t = q*f, t*f
	}
	// How long an upstream stays silent is not known; on average, half of the time has passed.
	q = max(q, st.work.silence(now).Seconds(), st.work.noticedSilence(now).Seconds())
	e.queueing, e.work = toDuration(q), toDuration(t)
	return e
}

// inFlight returns the expected number of requests in flight at the upstream from all hosts of the
// data centre, and the mean of their expected work in seconds. Requests whose work is not known
// count as mean ones.
func (st *upstreamState) inFlight(slots, mean, pace float64, now time.Time) (n, each float64) {
	n, work := float64(len(st.work.sendings)), st.work.inFlight.Seconds()
	if st.hasPeerLoad(now) {
		peers, peerWork := st.peersInFlight(slots, mean, pace, now)
		n += peers
		work += peerWork
	}
	if n == 0 || work == 0 {
		return n, mean
	}
	return n, work / n
}

// momentaryDelay returns by how many seconds an upstream that works slower or faster than usual
// at the moment, by the given factor, changes a latency of t seconds. weight is that of the
// report which states the factor. The delay is limited to what the upstream leaves undone until
// the report no longer counts: work of several seconds is hardly affected.
func momentaryDelay(t, factor, weight float64) float64 {
	delay := weight * t * (factor - 1)
	if factor > 1 {
		delay = min(delay, weight*loadReportTTL.Seconds()*(1-1/factor))
	}
	return delay
}

// momentaryFactor returns how long work takes at the upstream at the moment relative to the mean
// over the service's reports, which is part of the expected work already; 1 without a recent
// report.
func (w *serviceWork) momentaryFactor(st *upstreamState, now time.Time) float64 {
	if st.work.reportWeight(now) == 0 {
		return 1
	}
	if n := w.reports.Value(classTimeConstant, now); n > 0 {
		return st.work.report.WorkFactor * n / w.reportedFactors.Value(classTimeConstant, now)
	}
	return 1
}

// cost returns the expected time to a response to a request of the class. The zero class stands
// for services that are not competing.
func (p *Picker) cost(st *upstreamState, u *catalogue.Upstream, class desired.Class, now time.Time) time.Duration {
	if class.Service != "" {
		if e := p.estimate(st, u, class, now); e.known {
			return st.limiter.State().ExpectedWait + e.queueing + e.work
		}
	}
	return st.cost(u, now)
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// reporterCount is how many upstreams with recent load reports are compared for a request besides
// the random sample. Among 79 hosts, a report of an upstream in the sample is nearly always too old:
// a host gets one from each only every few seconds.
const reporterCount = 2

// recentReporters returns the upstreams of the list from which this host has received the newest
// load reports, if the class is of a competing service.
func (p *Picker) recentReporters(ups []*catalogue.Upstream, class desired.Class) []*catalogue.Upstream {
	w := p.work[class.Service]
	if w == nil || w.reporters[0] == nil {
		return nil
	}
	var out []*catalogue.Upstream
	for _, u := range w.reporters {
		if slices.Contains(ups, u) {
			out = append(out, u)
		}
	}
	return out
}
