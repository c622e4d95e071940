// Package reachability infers from the outcomes of sends which data centres a host cannot
// reach at present.
//
// When a network partition cuts a data centre off, each of its upstreams fails by itself: a host
// would lose two requests at every one of them until their timeouts pass, and again after each
// ejection. The upstreams of a data centre that is cut off fall silent together, so the silence
// of a few of them shows that of the others.
package reachability

import (
	"sync"
	"time"
)

const (
	// silenceThreshold is how long at least nothing must arrive from a data centre: half of the
	// shortest time for which callers wait for a response.
	silenceThreshold = 600 * time.Millisecond
	// minSilentUpstreams is the number of upstreams that must have been silent, each until its
	// request was late. One or two may be slow, full or stopped by themselves.
	minSilentUpstreams = 3
	// probeInterval is the time between two requests that are sent to an unreachable data centre
	// to learn that the partition has healed. Each one may be lost.
	probeInterval = 500 * time.Millisecond
)

// Tracker tracks the data centres to which requests are sent. It is safe for concurrent use.
type Tracker struct {
	// OnChange is called when a data centre becomes unreachable or reachable again, with the time
	// for which nothing arrived from it. Set it before the first use.
	OnChange func(dataCentre string, reachable bool, silentFor time.Duration)

	mu          sync.Mutex
	dataCentres map[string]*dataCentre
}

// dataCentre is the state of one data centre.
type dataCentre struct {
	// heardAt is when something last arrived from it, or when the first request was sent. heard is
	// set once something has arrived since then.
	heardAt time.Time
	heard   bool
	// sends are the requests without a response; unanswered holds the upstreams of those that
	// ended without one since heardAt, with the time at which the first was sent.
	sends       map[*Send]struct{}
	unanswered  map[string]time.Time
	unreachable bool
	nextProbe   time.Time
}

// Send is a request at an upstream.
type Send struct {
	tracker    *Tracker
	dataCentre *dataCentre
	name       string
	upstream   string
	at         time.Time
	// lateAfter is how long the request may take before its upstream counts as silent.
	lateAfter time.Duration
}

// NewTracker returns a tracker that takes all data centres for reachable.
func NewTracker() *Tracker {
	return &Tracker{OnChange: func(string, bool, time.Duration) {}, dataCentres: map[string]*dataCentre{}}
}

// Start records that a request with the given latency objective is sent to an upstream. End must be
// called when it ends.
func (t *Tracker) Start(name, upstream string, objective time.Duration, now time.Time) *Send {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.dataCentres[name]
	if d == nil {
		d = &dataCentre{heardAt: now, sends: map[*Send]struct{}{}, unanswered: map[string]time.Time{}}
		t.dataCentres[name] = d
	}
	if len(d.sends) == 0 && len(d.unanswered) == 0 && !d.unreachable {
		d.heardAt, d.heard = now, false // the silence of a data centre without requests shows nothing
	}
	if d.unreachable {
		d.nextProbe = now.Add(probeInterval)
	}
	s := &Send{tracker: t, dataCentre: d, name: name, upstream: upstream, at: now, lateAfter: max(objective, silenceThreshold)}
	d.sends[s] = struct{}{}
	return s
}

// End records the end of a request. heard is set if anything arrived from the upstream's host,
// also a rejected connection.
func (s *Send) End(heard bool, now time.Time) {
	t, d := s.tracker, s.dataCentre
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(d.sends, s)
	if !heard {
		if _, known := d.unanswered[s.upstream]; !known && now.Sub(s.at) >= s.lateAfter {
			d.unanswered[s.upstream] = s.at
		}
		return
	}
	if d.unreachable {
		d.unreachable = false
		t.OnChange(s.name, true, now.Sub(d.heardAt))
	}
	d.heardAt, d.heard = now, true
	clear(d.unanswered)
}

// Reachable reports whether a request may be sent to the data centre. While it is unreachable,
// one request each probeInterval may be.
func (t *Tracker) Reachable(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.dataCentres[name]
	if d == nil || now.Sub(d.heardAt) < d.threshold() {
		return true
	}
	if !d.unreachable {
		if d.silentUpstreams(now) < minSilentUpstreams {
			return true
		}
		d.unreachable = true
		t.OnChange(name, false, now.Sub(d.heardAt))
		d.nextProbe = now.Add(probeInterval)
		return false
	}
	return !now.Before(d.nextProbe)
}

// Reset takes all data centres for reachable again.
func (t *Tracker) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, d := range t.dataCentres {
		if d.unreachable {
			t.OnChange(name, true, 0)
		}
		*d = dataCentre{heardAt: time.Now(), sends: d.sends, unanswered: map[string]time.Time{}}
	}
}

// Unreachable returns the number of data centres that are unreachable, for metrics.
func (t *Tracker) Unreachable() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, d := range t.dataCentres {
		if d.unreachable {
			n++
		}
	}
	return n
}

// threshold is silenceThreshold, or twice that for the first response: all may be late.
func (d *dataCentre) threshold() time.Duration {
	if d.heard {
		return silenceThreshold
	}
	return 2 * silenceThreshold
}

// silentUpstreams returns the number of upstreams with a late request that has no response.
func (d *dataCentre) silentUpstreams(now time.Time) int {
	n := len(d.unanswered)
	counted := map[string]bool{}
	for s := range d.sends {
		if _, known := d.unanswered[s.upstream]; !known && !counted[s.upstream] && now.Sub(s.at) >= s.lateAfter {
			counted[s.upstream] = true
			n++
		}
	}
	return n
}
