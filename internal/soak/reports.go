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
	// reportPeriods is the longest pause between two upstreams' reports.
	reportPeriods = 2 * time.Second
	// reportMost is how long an upstream reports a limit or asks for rests at most.
	reportMost = 8 * time.Second
	// restFor is the rest that it asks for.
	restFor = 3 * time.Second
	// leavingFor is how long an upstream that reports that it leaves stays.
	leavingFor = 5 * time.Second
)

// report is a time for which an upstream's life reported the same.
type report struct {
	life *life
	says rangeowner.Report
	from time.Time
}

// reportsOf names what reports of a place exclude each other by.
type reportsOf struct{ *place }

// report has upstreams report limits, rests and that they leave until ctx ends. It
// draws apart from the other faults.
func (in *injector) report(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 8))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(reportPeriods))))
		p := in.world.places[rng.IntN(len(in.world.places))]
		d := time.Duration(rng.Int64N(int64(reportMost)))
		switch rng.IntN(3) {
		case 0:
			in.say(p, rangeowner.Report{RateLimit: 0.5 + 8*rng.Float64()}, d)
		case 1:
			in.say(p, rangeowner.Report{Backoff: restFor}, d)
		case 2:
			in.leave(p, rng.IntN(2) == 0)
		}
	}
}

// say has the place's upstream report for a time, or until its life ends.
func (in *injector) say(p *place, says rangeowner.Report, d time.Duration) {
	var l *life
	in.during(fmt.Sprintf("upstream %s reports %+v", p.proxy.Addr(), says), nil, reportsOf{p}, d,
		func() { l = in.begin(p, says) },
		func() { l.SetReport(rangeowner.Report{}) })
}

// leave has the place's upstream report that it leaves, and end some time later. Its
// entry says the same only if listed.
func (in *injector) leave(p *place, listed bool) {
	in.during("upstream "+p.proxy.Addr()+" reports that it leaves", nil, p, leavingFor,
		func() {
			l := in.begin(p, rangeowner.Report{Leaving: true})
			if listed {
				in.world.list(l, true)
			}
		},
		func() {
			in.world.unlist(in.world.kill(p))
			in.revive(p)
		})
}

// begin has the place's present life report something and notes it.
func (in *injector) begin(p *place, says rangeowner.Report) *life {
	in.world.mu.Lock()
	l := p.life
	in.world.mu.Unlock()
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
		all := r.life.Arrivals(r.from, time.Now())
		for i, a := range all {
			if a.Report != r.says {
				all = all[:i]
				break
			}
		}
		switch {
		case r.says.RateLimit > 0:
			bad = append(bad, in.checkLimit(r, all, by)...)
		case r.says.Leaving:
			bad = append(bad, in.checkLeaving(r, all, by)...)
		case r.says.Backoff > 0:
			bad = append(bad, in.checkRest(r, all, by)...)
		}
	}
	return bad
}

// passedOn returns when each host first passed on an answer with the report.
func passedOn(all []rangeowner.Arrival, by map[string]*outcome) map[*Host]time.Time {
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

func (in *injector) checkLimit(r report, all []rangeowner.Arrival, by map[string]*outcome) (bad []string) {
	first := passedOn(all, by)
	var counted []rangeowner.Arrival
	for _, a := range all {
		o := by[a.ID]
		if o == nil {
			continue
		}
		at, ok := first[o.host]
		if ok && a.At.Sub(at) > rangeowner.ReportGrace && in.untouched(o.host, r.life.place, at, a.At) {
			counted = append(counted, a)
		}
	}
	if n, most := rangeowner.PeakInWindow(counted, rangeowner.RateLimitWindow), rangeowner.MaxRequests(r.says.RateLimit); n > most {
		bad = append(bad, fmt.Sprintf("%s: LIMIT: %d requests within %v reached %s, which takes %.2f a second; at most %d",
			r.from.Format(stamp), n, rangeowner.RateLimitWindow, r.life.ID, r.says.RateLimit, most))
	}
	return bad
}

func (in *injector) checkLeaving(r report, all []rangeowner.Arrival, by map[string]*outcome) (bad []string) {
	first := passedOn(all, by)
	for _, a := range all {
		o := by[a.ID]
		if o == nil {
			continue
		}
		at, ok := first[o.host]
		if ok && o.began.Sub(at) > rangeowner.DrainGrace && in.unstopped(o.host, at, a.At) {
			bad = append(bad, fmt.Sprintf("%s: DRAIN: %s reached %s through %s %v after that had passed on that it leaves",
				a.At.Format(stamp), a.ID, r.life.ID, o.host.Name, a.At.Sub(at)))
		}
	}
	return bad
}

func (in *injector) checkRest(r report, all []rangeowner.Arrival, by map[string]*outcome) (bad []string) {
	byHost := map[*Host][]rangeowner.Arrival{}
	for _, a := range all {
		if o := by[a.ID]; o != nil {
			byHost[o.host] = append(byHost[o.host], a)
		}
	}
	for h, its := range byHost {
		n, asked := rangeowner.BackoffViolation(its, restFor, func(asked, at time.Time) bool { return in.untouched(h, r.life.place, asked, at) })
		if n > 0 {
			bad = append(bad, fmt.Sprintf("%s: BUDGET: %d requests from %s reached %s within a rest of %v", asked.Format(stamp), n, h.Name, r.life.ID, restFor))
		}
	}
	return bad
}

// untouched reports whether no fault touched the host, or the way to the upstream,
// within a time.
func (in *injector) untouched(h *Host, p *place, from, to time.Time) bool {
	return !in.touched(from, to, func(f *fault) bool {
		return f.host == h || strings.HasSuffix(f.what, "link of upstream "+p.proxy.Addr())
	})
}

// unstopped reports whether the host's process ran all the time.
func (in *injector) unstopped(h *Host, from, to time.Time) bool {
	return !in.touched(from, to, func(f *fault) bool { return f.host == h && !strings.Contains(f.what, "link") })
}

// touched reports whether such a fault was under way within a time.
func (in *injector) touched(from, to time.Time, such func(*fault) bool) bool {
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
