package balance

import (
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/decay"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/feedback"
)

const (
	// silenceFactor is how many times its expected latency a request must be without a response
	// to count for an upstream's silence. Three requests in a hundred take seven times as long
	// as the mean; a second one at the same time is unlikely.
	silenceFactor = 3
	// silentSendings is the number of such requests that make an upstream silent.
	silentSendings = 2
)

// Sending is a request of a competing service at an upstream.
type Sending struct {
	upstream *catalogue.Upstream
	class    desired.Class
	sentAt   time.Time
	// expected is the estimate when it was sent, work the expected work of its class and speed
	// the upstream's speed.
	expected estimate
	work     time.Duration
	speed    float64
	// workTime is the work time at the upstream by the load of all hosts, 0 if not known: that of
	// the class, or else the mean of all classes.
	workTime time.Duration
	cold     bool
}

// overdue reports whether the request takes silenceFactor times as long as expected.
func (s *Sending) overdue(now time.Time) bool {
	return s.expected.known && now.Sub(s.sentAt) > silenceFactor*(s.expected.queueing+s.expected.work)
}

// upstreamWork is the expected work at one upstream of a competing service.
type upstreamWork struct {
	// sendings are this host's requests there, inFlight their expected work. answered is the
	// expected work of the responses since the last FlushLoadStats.
	sendings           []*Sending
	inFlight, answered time.Duration
	lastResponse       time.Time
	silentReported     bool
	// notice is the other hosts' last notice that the upstream is silent.
	notice silenceNotice
	// report is the newest load report, received at reportAt, when this host had
	// sendingsAtReport requests there.
	report           feedback.Load
	reportAt         time.Time
	sendingsAtReport int
	// reportIsNew is set until the report is sent to the other hosts.
	reportIsNew bool
	// expected and taken are the decaying sums of the expected work of this host's responses
	// and of the time that the upstream took for it, in seconds.
	expected, taken decay.Sum
	// peers is the mean load of the other hosts.
	peers peerMean
}

// takeReport returns the requests at the upstream by a load report that was not taken before.
func (w *upstreamWork) takeReport() (requests int, ok bool) {
	if !w.reportIsNew {
		return 0, false
	}
	w.reportIsNew = false
	return w.report.Running + w.report.Waiting, true
}

// reportWeight returns the weight of the load report by its age.
func (w *upstreamWork) reportWeight(now time.Time) float64 {
	if !w.report.Known() {
		return 0
	}
	return min(max(1-now.Sub(w.reportAt).Seconds()/loadReportTTL.Seconds(), 0), 1)
}

// silence returns for how long the upstream has been silent at least: for how long it has responded
// to none of several requests, each of which has been there for silenceFactor times its expected
// latency. It returns 0 if it is not. Upstreams that report their load never count as silent: they
// reject requests instead.
func (w *upstreamWork) silence(now time.Time) time.Duration {
	if len(w.sendings) < silentSendings || w.report.Known() {
		return 0
	}
	n, longest := 0, time.Duration(0)
	for _, s := range w.sendings {
		if s.overdue(now) && !w.lastResponse.After(s.sentAt) {
			n++
			longest = max(longest, now.Sub(s.sentAt))
		}
	}
	if n < silentSendings {
		return 0
	}
	return longest
}

// silent reports whether the upstream is silent, and tells OnSilent when it becomes so.
func (p *Picker) silent(id string, st *upstreamState, now time.Time) bool {
	silent := st.work.silence(now) > 0
	if silent && !st.work.silentReported {
		p.OnSilent(id)
	}
	st.work.silentReported = silent
	return silent
}

// Silent reports whether the upstream has not responded to several requests of a competing service
// for a multiple of their expected latency; it then counts as overloaded.
func (p *Picker) Silent(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent(id, p.state(id), now)
}

// StartSend records that a request of a competing service is sent to the upstream. FinishSend
// must be called when it ends. The zero class stands for services that are not competing;
// StartSend then returns nil.
func (p *Picker) StartSend(u *catalogue.Upstream, class desired.Class, now time.Time) *Sending {
	if class.Service == "" {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	st, w := p.state(u.ID), p.serviceWork(class.Service)
	w.upstreams[u.ID] = st
	s := &Sending{upstream: u, class: class, sentAt: now, cold: u.Cold(now) || !p.possibleRestart(st, now).IsZero()}
	s.expected = p.estimate(st, u, class, now)
	s.work, _ = w.expected(class, now)
	s.speed = w.speed(st, now)
	switch {
	case w.hasFleetWork(class, now):
		s.workTime = toDuration(s.work.Seconds() / s.speed)
	case st.hasPeerLoad(now):
		s.workTime = st.peerLoad.WorkTime
	}
	if !s.expected.known {
		s.work = toDuration(w.mean)
	}
	st.work.sendings = append(st.work.sendings, s)
	st.work.inFlight += s.work
	return s
}

// FinishSend records the end of a request, with the outcome and duration of which Done is told,
// and the load report in the response; s may be nil.
func (p *Picker) FinishSend(s *Sending, o Outcome, took time.Duration, report feedback.Load, now time.Time) {
	if s == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	st, w := p.state(s.upstream.ID), p.serviceWork(s.class.Service)
	if i := slices.Index(st.work.sendings, s); i >= 0 {
		st.work.sendings = slices.Delete(st.work.sendings, i, i+1)
		st.work.inFlight -= s.work
	}
	if o == Served || o == Overloaded {
		st.work.lastResponse = now
	}
	if report.Known() {
		st.work.report, st.work.reportAt, st.work.sendingsAtReport, st.work.reportIsNew = report, now, len(st.work.sendings), true
		w.reporters[w.nextReporter] = s.upstream
		w.nextReporter = (w.nextReporter + 1) % reporterCount
		w.reports.Add(1, classTimeConstant, now)
		w.reportedFactors.Add(report.WorkFactor, classTimeConstant, now)
	}
	if o == Served {
		s.learn(st, w, took, now)
	}
}

// learn adds a response to the work of its class and the pace of its upstream. The more queueing
// was expected, the less it counts; its own latency must not decide that, or slow responses would
// count less than fast ones. Responses of cold upstreams show nothing about either.
func (s *Sending) learn(st *upstreamState, w *serviceWork, took time.Duration, now time.Time) {
	taken := (took - s.expected.queueing).Seconds() // may be negative; the means are not
	work := s.work.Seconds()
	if !s.expected.known {
		work = max(taken, 0) * s.speed
	}
	st.work.answered += toDuration(work)
	if s.cold {
		return
	}
	weight := 1.0
	if s.expected.known && work > 0 {
		weight = work / (work + s.expected.queueing.Seconds()*s.speed)
	}
	cw := w.class(s.class)
	cw.learnt++
	cw.responses.Add(weight, classTimeConstant, now)
	cw.work.Add(weight*taken*s.speed, classTimeConstant, now)
	st.work.expected.Add(weight*work, classTimeConstant, now)
	st.work.taken.Add(weight*taken, classTimeConstant, now)
	if s.workTime > 0 {
		w.queueing.add(took.Seconds()*s.speed, s.workTime.Seconds()*s.speed, s.expected.computed, s.expected.occupancy, now)
	}
}
