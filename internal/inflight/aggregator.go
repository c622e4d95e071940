// Package inflight combines the load statistics of a data centre's hosts on upstreams
// of services without keys. It sums the hosts' requests in flight at each upstream and
// estimates the upstream's work time: how long it takes to process a request, without
// queueing.
//
// Among sixty hosts, one host may send an upstream only one request in ten seconds.
// From that alone it cannot infer whether the upstream is busy or slow; the load
// statistics of all hosts show it. Hosts send theirs in the calls by which they follow
// the planner or a relay, and receive the load of the other hosts in the replies.
package inflight

import (
	"slices"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/decay"
	"github.com/papayatide/papayatide/internal/worktime"
)

const (
	// loadStatsTTL is how long a host's load statistics count. Healthy hosts send them
	// three times a second; the requests of a host end soon after it crashes.
	loadStatsTTL = 1200 * time.Millisecond
	// workTimeInterval is how often work times are re-estimated. An estimate covers the
	// responses of several seconds and hardly changes within one interval.
	workTimeInterval = 250 * time.Millisecond
)

// hostLoadStats holds the latest load statistics of a host, one per upstream.
type hostLoadStats struct {
	receivedAt time.Time
	loads      []balance.LoadStats
}

// Aggregator combines the load statistics of hosts. It is safe for concurrent use.
type Aggregator struct {
	// upstreams returns the upstreams in the catalogue.
	upstreams func() *catalogue.Snapshot

	mu sync.Mutex
	// hosts holds each host's latest load statistics, by host name.
	hosts map[string]hostLoadStats
	// inFlight is the number of requests in flight from all hosts, by upstream ID.
	inFlight map[string]int
	// workInFlight is the expected work of these requests.
	workInFlight map[string]time.Duration
	// unknown holds the requests of other data centres' hosts, by upstream ID.
	unknown map[string]unknownLoad
	// services holds the services that are competing, by name.
	services  map[string]*serviceWork
	silences  silences
	estimator *worktime.Estimator
	// workTimes holds the estimates of the last update, made at updatedAt, by
	// upstream ID.
	workTimes map[string]time.Duration
	updatedAt time.Time
}

// serviceWork sums the responses of a competing service, and their expected work in seconds.
type serviceWork struct{ responses, work decay.Sum }

// meanWorkTimeConstant is the time constant of the sums in serviceWork.
const meanWorkTimeConstant = 30 * time.Second

// meanWork returns the mean expected work of a service's responses, in seconds; 0 if the service
// is not competing.
func (a *Aggregator) meanWork(service string, now time.Time) float64 {
	s := a.services[service]
	if s == nil {
		return 0
	}
	n := s.responses.Value(meanWorkTimeConstant, now)
	if n == 0 {
		return 0
	}
	return s.work.Value(meanWorkTimeConstant, now) / n
}

// New returns an aggregator without load statistics. upstreams returns the upstreams in
// the catalogue.
func New(upstreams func() *catalogue.Snapshot, now time.Time) *Aggregator {
	return &Aggregator{upstreams: upstreams, hosts: map[string]hostLoadStats{}, inFlight: map[string]int{},
		workInFlight: map[string]time.Duration{}, unknown: map[string]unknownLoad{}, services: map[string]*serviceWork{},
		silences: silences{upstreams: map[string]*upstreamSilence{}}, estimator: worktime.New(now)}
}

// Record replaces the host's previous load statistics with loads. For a competing service, each
// response counts by its expected work relative to the mean of the service, so that an upstream
// which gets many short requests does not look fast. The statistics of hosts of earlier builds,
// which state no work, count as mean requests.
func (a *Aggregator) Record(host string, loads []balance.LoadStats, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	snapshot := a.upstreams()
	loads = slices.Clone(loads)
	for i, l := range loads {
		weight := float64(l.Responses)
		if u := snapshot.ByID[l.ID]; u != nil {
			if l.AnsweredWork > 0 {
				a.addWork(u.Service, l, now)
			}
			if mean := a.meanWork(u.Service, now); mean > 0 {
				if l.AnsweredWork > 0 {
					weight = l.AnsweredWork.Seconds() / mean
				}
				if l.WorkInFlight == 0 {
					loads[i].WorkInFlight = time.Duration(float64(l.InFlight) * mean * float64(time.Second))
				}
			}
		}
		if l.Responses > 0 {
			a.estimator.Add(l.ID, weight, l.TotalLatency.Seconds(), now)
		}
	}
	previous := a.hosts[host].loads
	a.replaceLoadStats(host, hostLoadStats{now, loads})
	a.silences.record(host, previous, loads, func(id string) time.Duration { return a.expectedWorkTime(id, now) }, now)
	a.observeReports(loads, now)
}

func (a *Aggregator) addWork(service string, l balance.LoadStats, now time.Time) {
	s := a.services[service]
	if s == nil {
		s = &serviceWork{}
		a.services[service] = s
	}
	s.responses.Add(float64(l.Responses), meanWorkTimeConstant, now)
	s.work.Add(l.AnsweredWork.Seconds(), meanWorkTimeConstant, now)
}

// replaceLoadStats replaces a host's load statistics and adjusts the sums.
func (a *Aggregator) replaceLoadStats(host string, next hostLoadStats) {
	for _, l := range a.hosts[host].loads {
		a.inFlight[l.ID] -= l.InFlight
		a.workInFlight[l.ID] -= l.WorkInFlight
	}
	for _, l := range next.loads {
		a.inFlight[l.ID] += l.InFlight
		a.workInFlight[l.ID] += l.WorkInFlight
	}
	a.hosts[host] = next
}

// PeerLoads returns, for each of the given upstreams, the load of all hosts except
// the given one; the zero value for an upstream without data.
func (a *Aggregator) PeerLoads(host string, ids []string, now time.Time) []balance.PeerLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.update(now)
	own := map[string]balance.LoadStats{}
	for _, l := range a.hosts[host].loads {
		own[l.ID] = l
	}
	out := make([]balance.PeerLoad, len(ids))
	for i, id := range ids {
		if workTime, known := a.workTimes[id]; known {
			out[i] = balance.PeerLoad{ID: id, InFlight: a.inFlight[id] - own[id].InFlight, WorkTime: workTime,
				WorkInFlight: a.workInFlight[id] - own[id].WorkInFlight}
			if n := a.unknownAt(id, now); n > 0 {
				out[i].InFlight += n
				out[i].WorkInFlight += time.Duration(n) * workTime
			}
		}
	}
	return out
}

// update drops expired load statistics and re-estimates the work times, at most once
// per workTimeInterval.
func (a *Aggregator) update(now time.Time) {
	if now.Sub(a.updatedAt) < workTimeInterval {
		return
	}
	a.updatedAt = now
	for host, r := range a.hosts {
		if now.Sub(r.receivedAt) > loadStatsTTL {
			a.replaceLoadStats(host, hostLoadStats{})
			delete(a.hosts, host)
		}
	}
	snapshot := a.upstreams()
	keep := func(id string) bool { return snapshot.ByID[id] != nil }
	a.estimator.Prune(keep)
	a.workTimes = map[string]time.Duration{}
	medians := map[string]float64{}
	for id := range a.inFlight {
		u := snapshot.ByID[id]
		if u == nil {
			delete(a.inFlight, id)
			delete(a.workInFlight, id)
			delete(a.unknown, id)
			delete(a.silences.upstreams, id)
			continue
		}
		if a.meanWork(u.Service, now) > 0 {
			a.estimator.AddOccupancy(u, float64(a.inFlight[id]), now)
		}
		if _, ok := medians[u.Service]; !ok {
			medians[u.Service] = a.estimator.Median(snapshot.ForService(u.Service), now)
		}
		a.workTimes[id] = time.Duration(a.estimator.Estimate(u, medians[u.Service], now) * float64(time.Second))
	}
}
