package ratelimit

import (
	"math/rand/v2"
	"time"
)

// HostRate is the number of requests a second that one host may send to an upstream.
type HostRate float64

// IntervalLimiter spaces one host's requests to one upstream evenly, at the host's
// share of the limit. The first request waits for a random part of the interval,
// since independent hosts would otherwise all send at once when a limit begins.
// The zero value is ready for use.
type IntervalLimiter struct {
	// limitUntil is the end of the limit in force; nextAllowed is the earliest time
	// of the next request under it.
	limitUntil, nextAllowed time.Time
}

// Allows reports whether a request may be sent at now to an upstream whose limit
// ends at limitUntil. Without a limit it always may.
func (l *IntervalLimiter) Allows(rate HostRate, limitUntil, now time.Time) bool {
	if !now.Before(limitUntil) {
		return true
	}
	if !now.Before(l.limitUntil) {
		// The previous limit has ended, so this is a new one. Within a limit its
		// end may shift a little with each report.
		l.nextAllowed = now.Add(time.Duration(rand.Float64() * float64(rate.interval())))
	}
	l.limitUntil = limitUntil
	return !now.Before(l.nextAllowed)
}

// Take is like Allows, and if the request may be sent it counts it.
func (l *IntervalLimiter) Take(rate HostRate, limitUntil, now time.Time) bool {
	if !l.Allows(rate, limitUntil, now) {
		return false
	}
	if now.Before(limitUntil) {
		l.nextAllowed = now.Add(rate.interval())
	}
	return true
}

// maxInterval bounds the interval between two requests of a host.
const maxInterval = time.Hour

// interval is the minimum time between two requests of a host, at most
// maxInterval.
func (r HostRate) interval() time.Duration {
	return time.Duration(min(float64(time.Second)/float64(r), float64(maxInterval)))
}
