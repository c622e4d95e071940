package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

const (
	// maxReportGap is the longest pause between two upstreams' reports.
	maxReportGap = 2 * time.Second
	// maxReportTime is how long an upstream reports a limit or asks for rests at most.
	maxReportTime = 8 * time.Second
	// backoffTime is the rest that it asks for.
	backoffTime = 3 * time.Second
	// leavingTime is how long an upstream that reports that it leaves stays.
	leavingTime = 5 * time.Second
)

// report is a time for which an upstream's life reported the same.
type report struct {
	inc   *incarnation
	value rangeowner.Report
	from  time.Time
}

// reportKey names what reports of a place exclude each other by.
type reportKey struct{ *endpoint }

// runReports has upstreams report limits, rests and that they leave until ctx ends. It
// draws apart from the other faults.
func (in *injector) runReports(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 8))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxReportGap))))
		p := in.env.endpoints[rng.IntN(len(in.env.endpoints))]
		d := time.Duration(rng.Int64N(int64(maxReportTime)))
		switch rng.IntN(3) {
		case 0:
			in.reportFor(p, rangeowner.Report{RateLimit: 0.5 + 8*rng.Float64()}, d)
		case 1:
			in.reportFor(p, rangeowner.Report{Backoff: backoffTime}, d)
		case 2:
			in.reportLeaving(p, rng.IntN(2) == 0)
		}
	}
}

// reportFor has the place's upstream report for a time, or until its life ends.
func (in *injector) reportFor(p *endpoint, says rangeowner.Report, d time.Duration) {
	var l *incarnation
	in.runFault(fmt.Sprintf("upstream %s reports %+v", p.proxy.Addr(), says), nil, reportKey{p}, d,
		func() { l = in.startReport(p, says) },
		func() { l.SetReport(rangeowner.Report{}) })
}

// reportLeaving has the place's upstream report that it leaves, and end some time later. Its
// entry says the same only if listed.
func (in *injector) reportLeaving(p *endpoint, listed bool) {
	in.runFault("upstream "+p.proxy.Addr()+" reports that it leaves", nil, p, leavingTime,
		func() {
			l := in.startReport(p, rangeowner.Report{Leaving: true})
			if listed {
				in.env.writeEntry(l, true)
			}
		},
		func() {
			in.env.expireEntry(in.env.kill(p))
			in.startUpstream(p)
		})
}

// startReport has the place's present life report something and notes it.
func (in *injector) startReport(p *endpoint, says rangeowner.Report) *incarnation {
	in.env.mu.Lock()
	l := p.current
	in.env.mu.Unlock()
	l.SetReport(says)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.reports = append(in.reports, report{l, says, time.Now()})
	return l
}

// checkReports returns the requests that upstreams got despite what they had
// reported to the hosts that sent them.
func (in *injector) checkReports(outcomes []*outcome) (bad []string) {
	by := map[string]*outcome{}
	for _, o := range outcomes {
		by[o.id] = o
	}
	for _, r := range in.reports {
		all := r.inc.Arrivals(r.from, time.Now())
		for i, a := range all {
			if a.Report != r.value {
				all = all[:i]
				break
			}
		}
		switch {
		case r.value.RateLimit > 0:
			bad = append(bad, in.checkRateLimit(r, all, by)...)
		case r.value.Leaving:
			bad = append(bad, in.checkLeaving(r, all, by)...)
		case r.value.Backoff > 0:
			bad = append(bad, in.checkBackoff(r, all, by)...)
		}
	}
	return bad
}

// firstForwarded returns when each host first passed on an answer with the report.
func firstForwarded(all []rangeowner.Arrival, by map[string]*outcome) map[*Host]time.Time {
	first := map[*Host]time.Time{}
	for _, a := range all {
		o := by[a.ID]
		if o == nil || o.err != nil || o.status != http.StatusOK {
			continue
		}
		if at, ok := first[o.host]; !ok || o.ended.Before(at) {
			first[o.host] = o.ended
		}
	}
	return first
}

func (in *injector) checkRateLimit(r report, all []rangeowner.Arrival, by map[string]*outcome) (bad []string) {
	first := firstForwarded(all, by)
	var counted []rangeowner.Arrival
	for _, a := range all {
		o := by[a.ID]
		if o == nil {
			continue
		}
		at, ok := first[o.host]
		if ok && a.At.Sub(at) > rangeowner.ReportGrace && in.hostAndLinkFaultFree(o.host, r.inc.endpoint, at, a.At) {
			counted = append(counted, a)
		}
	}
	if n, most := rangeowner.PeakInWindow(counted, rangeowner.RateLimitWindow), rangeowner.MaxRequests(r.value.RateLimit); n > most {
		bad = append(bad, fmt.Sprintf("%s: LIMIT: %d requests within %v reached %s, which takes %.2f a second; at most %d",
			r.from.Format(timestampFormat), n, rangeowner.RateLimitWindow, r.inc.ID, r.value.RateLimit, most))
	}
	return bad
}

func (in *injector) checkLeaving(r report, all []rangeowner.Arrival, by map[string]*outcome) (bad []string) {
	first := firstForwarded(all, by)
	for _, a := range all {
		o := by[a.ID]
		if o == nil {
			continue
		}
		at, ok := first[o.host]
		if ok && o.began.Sub(at) > rangeowner.DrainGrace && in.hostProcessFaultFree(o.host, at, a.At) {
			bad = append(bad, fmt.Sprintf("%s: DRAIN: %s reached %s through %s %v after that had passed on that it leaves",
				a.At.Format(timestampFormat), a.ID, r.inc.ID, o.host.Name, a.At.Sub(at)))
		}
	}
	return bad
}

func (in *injector) checkBackoff(r report, all []rangeowner.Arrival, by map[string]*outcome) (bad []string) {
	byHost := map[*Host][]rangeowner.Arrival{}
	for _, a := range all {
		if o := by[a.ID]; o != nil {
			byHost[o.host] = append(byHost[o.host], a)
		}
	}
	for h, its := range byHost {
		n, asked := rangeowner.BackoffViolation(its, backoffTime, func(asked, at time.Time) bool { return in.hostAndLinkFaultFree(h, r.inc.endpoint, asked, at) })
		if n > 0 {
			bad = append(bad, fmt.Sprintf("%s: BUDGET: %d requests from %s reached %s within a rest of %v", asked.Format(timestampFormat), n, h.Name, r.inc.ID, backoffTime))
		}
	}
	return bad
}

// hostAndLinkFaultFree reports whether no fault touched the host, or the way to the upstream,
// within a time.
func (in *injector) hostAndLinkFaultFree(h *Host, p *endpoint, from, to time.Time) bool {
	return !in.anyFault(from, to, func(f *fault) bool {
		return f.host == h || strings.HasSuffix(f.description, "link of upstream "+p.proxy.Addr())
	})
}

// hostProcessFaultFree reports whether the host's process ran all the time.
func (in *injector) hostProcessFaultFree(h *Host, from, to time.Time) bool {
	return !in.anyFault(from, to, func(f *fault) bool { return f.host == h && !strings.Contains(f.description, "link") })
}

// anyFault reports whether such a fault was under way within a time.
func (in *injector) anyFault(from, to time.Time, such func(*fault) bool) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, f := range in.faults {
		over := !f.to.IsZero() && f.to.Before(from)
		if !over && !f.from.After(to) && such(f) {
			return true
		}
	}
	return false
}
