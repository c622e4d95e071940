package rangeowner

import "time"

// Bounds on the requests that may still arrive at an upstream after it has sent a
// report.
const (
	// ReportGrace is how long each host may take to apply the rate limit or
	// backoff reported in a response.
	ReportGrace = 500 * time.Millisecond
	// DrainGrace is how long each host may still send requests after a response
	// has reported that the upstream is leaving.
	DrainGrace = 2 * time.Second
	// BackoffSlack is how many requests of each host may arrive within a backoff.
	BackoffSlack = 2
	// RateLimitWindow, rateLimitFactor and rateLimitSlack bound the requests of
	// all hosts together to an upstream with a rate limit; see MaxRequests.
	RateLimitWindow                 = 4 * time.Second
	rateLimitFactor, rateLimitSlack = 1.5, 5.0
)

// MaxRequests returns how many requests of all hosts together may arrive within
// RateLimitWindow at an upstream that reports a rate limit of perSecond.
func MaxRequests(perSecond float64) int {
	return int(perSecond*RateLimitWindow.Seconds()*rateLimitFactor + rateLimitSlack)
}

// BackoffViolation finds the first backoff within which more than BackoffSlack requests
// arrived, among arrivals of one host whose responses all requested backoff. It returns
// their number, or 0, and the arrival time of the request whose response began the backoff.
// Requests within ReportGrace of that time, or for which counts is false, are not counted.
func BackoffViolation(arrivals []Arrival, backoff time.Duration, counts func(requestedAt, at time.Time) bool) (n int, requestedAt time.Time) {
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
