package rangeowner

import "time"

// What upstreams that report of themselves may get from hosts that have received an
// answer which says so.
const (
	// ReportGrace is how long after an answer a host is bound by it.
	ReportGrace = 500 * time.Millisecond
	// DrainGrace is how long after a report of leaving the last request may be sent.
	DrainGrace = 2 * time.Second
	// BackoffSlack is how many requests of a host may come within a rest.
	BackoffSlack = 2
	// LimitWindow, limitFactor and limitSlack bound the requests to an upstream with
	// a rate limit.
	RateLimitWindow                 = 4 * time.Second
	rateLimitFactor, rateLimitSlack = 1.5, 5.0
)

// MaxRequests returns how many requests may come within LimitWindow to an upstream
// that takes perSecond.
func MaxRequests(perSecond float64) int {
	return int(perSecond*RateLimitWindow.Seconds()*rateLimitFactor + rateLimitSlack)
}

// BackoffViolation returns how many requests of one host came within a rest that an answer of
// these arrivals asked for, and when that was, of the first rest with more than
// RestSlack that counts; 0 if there is none.
func BackoffViolation(all []Arrival, rest time.Duration, counts func(asked, at time.Time) bool) (n int, asked time.Time) {
	for _, first := range all {
		n := 0
		for _, a := range all {
			if since := a.At.Sub(first.At); since > ReportGrace && since < rest && counts(first.At, a.At) {
				n++
			}
		}
		if n > BackoffSlack {
			return n, first.At
		}
	}
	return 0, time.Time{}
}
