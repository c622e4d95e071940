package rangeowner

import "time"

// Bounds on the requests that a host may still send to an upstream after it has
// received a response with the upstream's report.
const (
	// ReportGrace is how long after a response the host need not follow its
	// rate limit or backoff yet.
	ReportGrace = 500 * time.Millisecond
	// DrainGrace is how long after a report of leaving the host may still send
	// requests.
	DrainGrace = 2 * time.Second
	// BackoffSlack is how many requests of one host may arrive within a backoff.
	BackoffSlack = 2
	// RateLimitWindow, rateLimitFactor and rateLimitSlack bound the requests to an
	// upstream with a rate limit; see MaxRequests.
	RateLimitWindow                 = 4 * time.Second
	rateLimitFactor, rateLimitSlack = 1.5, 5.0
)

// MaxRequests returns how many requests may arrive within RateLimitWindow at an
// upstream that reports a rate limit of perSecond.
func MaxRequests(perSecond float64) int {
	return int(perSecond*RateLimitWindow.Seconds()*rateLimitFactor + rateLimitSlack)
}

// BackoffViolation finds the first backoff with more than BackoffSlack requests, among
// arrivals of one host whose responses all asked for backoff. It returns the number of
// those requests and when the backoff was asked for, or 0 if there is none. Requests
// within ReportGrace, and those for which counts returns false, are not counted.
func BackoffViolation(arrivals []Arrival, backoff time.Duration, counts func(askedAt, at time.Time) bool) (n int, askedAt time.Time) {
	for _, first := range arrivals {
		n := 0
		for _, a := range arrivals {
			if since := a.At.Sub(first.At); since > ReportGrace && since < backoff && counts(first.At, a.At) {
				n++
			}
		}
		if n > BackoffSlack {
			return n, first.At
		}
	}
	return 0, time.Time{}
}
