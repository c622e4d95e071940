package burn

import (
	"math"
	"sort"
	"sync"
	"time"
)

// BucketWidth is the time that one bucket covers.
const BucketWidth = 10 * time.Second

// Buckets is the number of buckets per service. They cover one hour, the longest of
// Windows.
const Buckets = 360

// Windows are the reported windows in ascending order. The short one shows a fast
// burn early, the long one shows a slow burn.
var Windows = []time.Duration{5 * time.Minute, time.Hour}

// bucket counts the requests of one BucketWidth.
type bucket struct {
	number           int64 // counted from Recorder.origin, see bucketNumber
	total, bad, slow int64
}

// Counts are the counts of one service's requests in one window. Bad is the number of
// requests refused for reasons that the caller did not cause, Slow that of requests
// slower than Recorder.LatencyObjective.
type Counts struct {
	Service          string
	Window           time.Duration
	Total, Bad, Slow int64
}

// Recorder counts requests. It is safe for concurrent use; its lock is held only for a
// few additions per request.
type Recorder struct {
	// LatencyObjective is the latency above which a request counts as slow. Rate
	// takes the share of requests that must not be slow.
	LatencyObjective time.Duration
	mu               sync.Mutex
	services         map[string]*[Buckets]bucket
	// origin is the time of the first call. Buckets are numbered from it by the
	// monotonic clock, as the wall clock may jump.
	origin time.Time
}

// NewRecorder returns a recorder with latency as its LatencyObjective.
func NewRecorder(latency time.Duration) *Recorder {
	return &Recorder{LatencyObjective: latency, services: map[string]*[Buckets]bucket{}}
}

// bucketNumber returns the number of the bucket that contains now. The caller holds mu.
func (r *Recorder) bucketNumber(now time.Time) int64 {
	if r.origin.IsZero() {
		r.origin = now
	}
	// The ring is indexed by the number, which must not be negative.
	return int64(now.Sub(r.origin)/BucketWidth) + Buckets
}

// Record counts a request of service that completed at now after the duration took. bad is
// set if it was refused for a reason that the caller did not cause.
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

// Snapshot returns the counts of every service in each of Windows up to now, sorted by
// service, then by window.
func (r *Recorder) Snapshot(now time.Time) []Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.bucketNumber(now)
	var out []Counts
	for service, ring := range r.services {
		for _, window := range Windows {
			c := Counts{Service: service, Window: window}
			oldest := n - int64(window/BucketWidth) + 1
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

// minAllowedFailures is how many failures the error budget must allow in a window for
// a burn rate to be reported. Otherwise one failed request looks like a rate of
// hundreds.
const minAllowedFailures = 1

// MinRequests returns how many requests a window needs for a meaningful burn rate of
// the objective: 1,000 for 0.999.
func MinRequests(objective float64) int64 {
	if objective >= 1 {
		return 1
	}
	return int64(math.Ceil(minAllowedFailures/(1-objective) - roundingTolerance))
}

// roundingTolerance is subtracted before rounding up: 1/(1-0.999) is slightly above
// 1,000 in floating point and would give 1,001.
const roundingTolerance = 1e-6

// Rate returns the burn rate of an objective such as 0.999. A rate of 1 spends the
// error budget exactly in the objective's period; 14.4 spends a 30-day budget in some
// two days.
func Rate(bad, total int64, objective float64) float64 {
	if total == 0 || objective >= 1 {
		return 0
	}
	return (float64(bad) / float64(total)) / (1 - objective)
}
