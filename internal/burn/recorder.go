package burn

import (
	"math"
	"sort"
	"sync"
	"time"
)

// BucketWidth is the time one bucket covers.
const BucketWidth = 10 * time.Second

// Buckets covers one hour, the longest window reported.
const Buckets = 360

// Windows are the windows reported, short first: a fast burn shows in the
// first, a slow leak in the last.
var Windows = []time.Duration{5 * time.Minute, time.Hour}

type bucket struct {
	number           int64 // bucket number, from the recorder's first time on
	total, bad, slow int64
}

// Counts are one service's requests over one window.
type Counts struct {
	Service          string
	Window           time.Duration
	Total, Bad, Slow int64
}

// Recorder counts requests. It is safe for concurrent use; the lock is
// held for a few additions per request.
type Recorder struct {
	// LatencyObjective is the latency past which a request counts as slow.
	LatencyObjective time.Duration
	mu               sync.Mutex
	services         map[string]*[Buckets]bucket
	// origin is the first time that was told. Buckets are counted from it by
	// the steady clock: the time of day may jump.
	origin time.Time
}

// NewRecorder returns a recorder with the given latency objective.
func NewRecorder(latency time.Duration) *Recorder {
	return &Recorder{LatencyObjective: latency, services: map[string]*[Buckets]bucket{}}
}

// bucketNumber returns the number of the bucket of a time. The caller holds mu.
func (r *Recorder) bucketNumber(now time.Time) int64 {
	if r.origin.IsZero() {
		r.origin = now
	}
	// The ring is indexed by the number, which must not be negative.
	return int64(now.Sub(r.origin)/BucketWidth) + Buckets
}

// Record counts one request of service answered at now after took; bad
// says it was refused for a cause other than the caller's own.
func (r *Recorder) Record(service string, bad bool, took time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.bucketNumber(now)
	ring := r.services[service]
	if ring == nil {
		ring = new([Buckets]bucket)
		r.services[service] = ring
	}
	b := &ring[n%Buckets]
	if b.number != n {
		*b = bucket{number: n}
	}
	b.total++
	if bad {
		b.bad++
	}
	if took > r.LatencyObjective {
		b.slow++
	}
}

// Snapshot returns every service's counts over each of Windows at now,
// sorted by service then window.
func (r *Recorder) Snapshot(now time.Time) []Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.bucketNumber(now)
	var out []Counts
	for svc, ring := range r.services {
		for _, w := range Windows {
			c := Counts{Service: svc, Window: w}
			oldest := n - int64(w/BucketWidth) + 1
			for _, b := range ring {
				if b.number >= oldest && b.number <= n {
					c.Total += b.total
					c.Bad += b.bad
					c.Slow += b.slow
				}
			}
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Window < out[j].Window
	})
	return out
}

// fewestBad is how many failures the budget must allow in a window before a
// burn is told: with less, one failed request looks like a burn of hundreds.
const minAllowedFailures = 1

// MinRequests returns how many requests a window needs for its burn of the
// objective to mean anything: 1,000 for 0.999.
func MinRequests(objective float64) int64 {
	if objective >= 1 {
		return 1
	}
	return int64(math.Ceil(minAllowedFailures/(1-objective) - roundingTolerance))
}

// rounding keeps 1/(1-0.999), which is a little over 1,000 in floating point,
// from counting as 1,001.
const roundingTolerance = 1e-6

// Rate returns how many times faster than allowed the error budget of an
// objective (e.g. 0.999) is being spent: 1 spends it exactly over the
// objective's period, 14.4 over an hour spends a 30-day budget in ~2 days.
func Rate(bad, total int64, objective float64) float64 {
	if total == 0 || objective >= 1 {
		return 0
	}
	return (float64(bad) / float64(total)) / (1 - objective)
}
