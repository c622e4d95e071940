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
	// maxReportGap is the longest pause between the starts of two reports.
	maxReportGap = 2 * time.Second
	// maxReportTime is the longest time for which an upstream reports a rate limit or
	// a backoff.
	maxReportTime = 8 * time.Second
	// backoffTime is the backoff that upstreams report.
	backoffTime = 3 * time.Second
	// leavingTime is how long an upstream reports that it is leaving before it stops.
	leavingTime = 5 * time.Second
)

// report is a report that an upstream sends in its responses from a time on.
type report struct {
	inc   *incarnation
	value rangeowner.Report
	from  time.Time
}

// reportKey marks an endpoint as busy with a report. It differs from the endpoint's own
// key, so that other faults of the upstream can overlap with the report.
type reportKey struct{ *endpoint }

// runReports has random upstreams report rate limits, backoffs and that they are
// leaving, until ctx ends. It has its own random generator, so the other faults of a
// seed do not depend on it.
func (in *injector) runReports(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 8))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxReportGap))))
		ep := in.env.endpoints[rng.IntN(len(in.env.endpoints))]
		d := time.Duration(rng.Int64N(int64(maxReportTime)))
		switch rng.IntN(3) {
		case 0:
			in.reportFor(ep, rangeowner.Report{RateLimit: 0.5 + 8*rng.Float64()}, d)
		case 1:
			in.reportFor(ep, rangeowner.Report{Backoff: backoffTime}, d)
		case 2:
			in.reportLeaving(ep, rng.IntN(2) == 0)
		}
	}
}

// reportFor has the endpoint's current incarnation send a report for a time.
func (in *injector) reportFor(ep *endpoint, value rangeowner.Report, d time.Duration) {
	var inc *incarnation
	in.runFault(fmt.Sprintf("upstream %s reports %+v", ep.proxy.Addr(), value), nil, reportKey{ep}, d,
		func() { inc = in.startReport(ep, value) },
		func() { inc.SetReport(rangeowner.Report{}) })
}

// reportLeaving has the endpoint's current incarnation report that it is leaving, kills
// it after leavingTime and starts the next one. If markEntry is set, its entry in the
// log is marked as leaving, too.
func (in *injector) reportLeaving(ep *endpoint, markEntry bool) {
	in.runFault("upstream "+ep.proxy.Addr()+" reports that it leaves", nil, ep, leavingTime,
		func() {
			inc := in.startReport(ep, rangeowner.Report{Leaving: true})
			if markEntry {
				in.env.mu.Lock()
				defer in.env.mu.Unlock()
				in.env.writeEntry(inc, true)
			}
		},
		func() {
			in.env.expireEntry(in.env.kill(ep))
			in.startUpstream(ep)
		})
}

// startReport has the endpoint's current incarnation send a report and records it.
func (in *injector) startReport(ep *endpoint, value rangeowner.Report) *incarnation {
	in.env.mu.Lock()
	inc := ep.current
	in.env.mu.Unlock()
	inc.SetReport(value)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.reports = append(in.reports, report{inc, value, time.Now()})
	return inc
}

// checkReports returns the requests that hosts sent to upstreams in violation of the
// reports that they had received from them.
func (in *injector) checkReports(outcomes []*outcome) (bad []string) {
	byID := map[string]*outcome{}
	for _, o := range outcomes {
		byID[o.id] = o
	}
	for _, r := range in.reports {
		arrivals := r.inc.Arrivals(r.from, time.Now())
		for i, a := range arrivals {
			if a.Report != r.value {
				arrivals = arrivals[:i]
				break
			}
		}
		switch {
		case r.value.RateLimit > 0:
			bad = append(bad, in.checkRateLimit(r, arrivals, byID)...)
		case r.value.Leaving:
			bad = append(bad, in.checkLeaving(r, arrivals, byID)...)
		case r.value.Backoff > 0:
			bad = append(bad, in.checkBackoff(r, arrivals, byID)...)
		}
	}
	return bad
}

// firstForwarded returns when each host first forwarded a response with the report to a
// caller. By then the host has received the report.
func firstForwarded(arrivals []rangeowner.Arrival, byID map[string]*outcome) map[*Host]time.Time {
	first := map[*Host]time.Time{}
	for _, a := range arrivals {
		o := byID[a.ID]
		if o == nil || o.err != nil || o.status != http.StatusOK {
			continue
		}
		if at, ok := first[o.host]; !ok || o.ended.Before(at) {
			first[o.host] = o.ended
		}
	}
	return first
}

// checkRateLimit returns a violation if the hosts that have received a rate limit
// exceed it together.
func (in *injector) checkRateLimit(r report, arrivals []rangeowner.Arrival, byID map[string]*outcome) (bad []string) {
	first := firstForwarded(arrivals, byID)
	var counted []rangeowner.Arrival
	for _, a := range arrivals {
		o := byID[a.ID]
		if o == nil {
			continue
		}
		at, ok := first[o.host]
		if ok && a.At.Sub(at) > rangeowner.ReportGrace && in.hostAndLinkFaultFree(o.host, r.inc.endpoint, at, a.At) {
			counted = append(counted, a)
		}
	}
	if n, limit := rangeowner.PeakInWindow(counted, rangeowner.RateLimitWindow), rangeowner.MaxRequests(r.value.RateLimit); n > limit {
		bad = append(bad, fmt.Sprintf("%s: LIMIT: %d requests within %v reached %s, which takes %.2f a second; at most %d",
			r.from.Format(timestampFormat), n, rangeowner.RateLimitWindow, r.inc.ID, r.value.RateLimit, limit))
	}
	return bad
}

// checkLeaving returns the requests that began more than DrainGrace after their host had
// forwarded a report that the upstream is leaving.
func (in *injector) checkLeaving(r report, arrivals []rangeowner.Arrival, byID map[string]*outcome) (bad []string) {
	first := firstForwarded(arrivals, byID)
	for _, a := range arrivals {
		o := byID[a.ID]
		if o == nil {
			continue
		}
		at, ok := first[o.host]
		if ok && o.began.Sub(at) > rangeowner.DrainGrace && in.hostProcessFaultFree(o.host, at, a.At) {
			bad = append(bad, fmt.Sprintf("%s: DRAIN: %s reached %s through %s %v after that host had forwarded its report of leaving",
				a.At.Format(timestampFormat), a.ID, r.inc.ID, o.host.Name, a.At.Sub(at)))
		}
	}
	return bad
}

// checkBackoff returns the hosts that sent too many requests during a backoff.
func (in *injector) checkBackoff(r report, arrivals []rangeowner.Arrival, byID map[string]*outcome) (bad []string) {
	byHost := map[*Host][]rangeowner.Arrival{}
	for _, a := range arrivals {
		if o := byID[a.ID]; o != nil {
			byHost[o.host] = append(byHost[o.host], a)
		}
	}
	for h, fromHost := range byHost {
		n, requestedAt := rangeowner.BackoffViolation(fromHost, backoffTime, func(requestedAt, at time.Time) bool {
			return in.hostAndLinkFaultFree(h, r.inc.endpoint, requestedAt, at)
		})
		if n > 0 {
			bad = append(bad, fmt.Sprintf("%s: BUDGET: %d requests from %s reached %s within a backoff of %v", requestedAt.Format(timestampFormat), n, h.Name, r.inc.ID, backoffTime))
		}
	}
	return bad
}

// hostAndLinkFaultFree reports whether no fault affected the host or the link to the
// upstream between from and to.
func (in *injector) hostAndLinkFaultFree(h *Host, ep *endpoint, from, to time.Time) bool {
	return !in.anyFault(from, to, func(f *fault) bool {
		return f.host == h || strings.HasSuffix(f.description, "link of upstream "+ep.proxy.Addr())
	})
}

// hostProcessFaultFree reports whether no fault affected the host's process between
// from and to. Faults of its links do not count.
func (in *injector) hostProcessFaultFree(h *Host, from, to time.Time) bool {
	return !in.anyFault(from, to, func(f *fault) bool { return f.host == h && !strings.Contains(f.description, "link") })
}

// anyFault reports whether a fault for which match returns true lasted at any time
// between from and to.
func (in *injector) anyFault(from, to time.Time, match func(*fault) bool) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, f := range in.faults {
		over := !f.to.IsZero() && f.to.Before(from)
		if !over && !f.from.After(to) && match(f) {
			return true
		}
	}
	return false
}
