package inflight

import (
	"slices"
	"strings"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
)

const (
	// silentFactor is how many times the expected work time an upstream must have responded to no
	// host to count as silent, as for one host (balance.Picker.Silent).
	silentFactor = 3
	// renewalFactor replaces silentFactor within renewalPeriod of the end of a notice, if there has
	// been no response since. A notice that is renewed wrongly ends with the first response.
	renewalFactor = 1
	// renewalPeriod is about the longest timeout of callers.
	renewalPeriod = 5 * time.Second
	// silentHosts is how many hosts must have requests there that whole time: a single host may
	// be cut off from the upstream.
	silentHosts = 2
	// statsDelay is how old the statistics of a host are at most when the next ones arrive.
	// Healthy hosts send them every 0.3 s.
	statsDelay = 400 * time.Millisecond
	// drainFactor is how many work times a full upstream of 6 slots takes to start the 24 requests
	// in its queue. A notice lasts that long.
	drainFactor = 4
	// maxSilences bounds the notices in a reply.
	maxSilences = 64
)

// upstreamSilence is what the hosts' statistics show of the responses of an upstream of a competing
// service.
type upstreamSilence struct {
	// waiting holds the hosts with requests in flight there, and when each of them said so last.
	waiting map[string]time.Time
	// waitingSince is since when silentHosts have been waiting at any time, without a response to
	// any host and outside of notices; zero if they are not. If waiting during a notice counted,
	// requests that are lost would renew it after the upstream has recovered.
	waitingSince time.Time
	// silentSince is waitingSince of the first notice since the last response, noticeUntil the end
	// of the last notice.
	silentSince, noticeUntil time.Time
	// reportsLoad is set once the upstream has reported its load; it then never counts as silent.
	reportsLoad bool
}

// silences finds upstreams that respond to none of several hosts. Unlike the hosts themselves, it
// needs no two requests of one host, and a host that is cut off from an upstream shows nothing by
// itself.
type silences struct {
	upstreams map[string]*upstreamSilence
	// until is the end of the last notice of any upstream.
	until time.Time
}

// record replaces the previous statistics of a host by loads. Those of services that are not
// competing have no expected work. expected returns the expected work time of the requests in
// flight at an upstream; 0 if it is not known.
func (s *silences) record(host string, previous, loads []balance.LoadStats, expected func(id string) time.Duration, now time.Time) {
	for _, l := range previous {
		if u := s.upstreams[l.ID]; u != nil {
			delete(u.waiting, host)
		}
	}
	for _, l := range loads {
		u := s.upstreams[l.ID]
		if u == nil {
			if l.WorkInFlight <= 0 {
				continue
			}
			u = &upstreamSilence{waiting: map[string]time.Time{}}
			s.upstreams[l.ID] = u
		}
		u.reportsLoad = u.reportsLoad || l.HasReport
		if l.Responses > 0 || u.reportsLoad {
			u.waitingSince, u.silentSince, u.noticeUntil = time.Time{}, time.Time{}, time.Time{}
		}
		if l.InFlight > 0 {
			u.waiting[host] = now
		}
	}
	for _, list := range [][]balance.LoadStats{previous, loads} {
		for _, l := range list {
			if u := s.upstreams[l.ID]; u != nil && u.observe(func() time.Duration { return expected(l.ID) }, now) && u.noticeUntil.After(s.until) {
				s.until = u.noticeUntil
			}
		}
	}
}

// observe updates waitingSince, and reports whether a notice begins.
func (u *upstreamSilence) observe(expected func() time.Duration, now time.Time) bool {
	switch {
	case u.reportsLoad || now.Before(u.noticeUntil) || u.waitingHosts(now) < silentHosts:
		u.waitingSince = time.Time{}
		return false
	case u.waitingSince.IsZero():
		u.waitingSince = now
		return false
	}
	factor := time.Duration(silentFactor)
	if !u.silentSince.IsZero() {
		if now.Sub(u.noticeUntil) <= renewalPeriod {
			factor = renewalFactor
		} else {
			u.silentSince = time.Time{}
		}
	}
	work := expected()
	if work <= 0 || now.Sub(u.waitingSince) <= factor*work+statsDelay {
		return false
	}
	if u.silentSince.IsZero() {
		u.silentSince = u.waitingSince
	}
	u.noticeUntil, u.waitingSince = now.Add(drainFactor*work), time.Time{}
	return true
}

// waitingHosts returns how many hosts have requests there, up to silentHosts, by statistics that are
// not too old: those of a host that has stalled show nothing.
func (u *upstreamSilence) waitingHosts(now time.Time) int {
	n := 0
	for _, at := range u.waiting {
		if now.Sub(at) <= statsDelay {
			if n++; n == silentHosts {
				break
			}
		}
	}
	return n
}

// notices returns the notices in force, sorted by upstream.
func (s *silences) notices(now time.Time) []balance.SilenceNotice {
	if !now.Before(s.until) {
		return nil
	}
	var out []balance.SilenceNotice
	for id, u := range s.upstreams {
		if left := u.noticeUntil.Sub(now); left > 0 && len(out) < maxSilences {
			out = append(out, balance.SilenceNotice{ID: id, For: now.Sub(u.silentSince), Left: left})
		}
	}
	slices.SortFunc(out, func(x, y balance.SilenceNotice) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// SilenceNotices returns the upstreams of competing services that respond to none of several hosts.
// The first response to any host ends a notice.
func (a *Aggregator) SilenceNotices(now time.Time) []balance.SilenceNotice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silences.notices(now)
}

// expectedWorkTime returns how long the upstream works on one of the requests in flight there; 0 if
// it is not known. If they are shorter than the mean of the service, it is that of the mean.
func (a *Aggregator) expectedWorkTime(id string, now time.Time) time.Duration {
	u, workTime := a.upstreams().ByID[id], a.workTimes[id]
	if u == nil || workTime == 0 {
		return 0
	}
	if mean, n := a.meanWork(u.Service, now), a.inFlight[id]; mean > 0 && n > 0 {
		workTime = time.Duration(float64(workTime) * max(a.workInFlight[id].Seconds()/float64(n)/mean, 1))
	}
	if u.Cold(now) {
		workTime *= coldFactor
	}
	return workTime
}

// coldFactor is how many times slower an upstream is during its slow start.
const coldFactor = 2
