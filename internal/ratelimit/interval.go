package ratelimit

import (
	"math/rand/v2"
	"time"
)

// HostRate is how many requests a second one host may send to an upstream.
type HostRate float64

// IntervalLimiter lets one host's requests to one upstream through at its share. The first
// may be sent at a random time within the first gap, so that independent hosts do
// not begin together. Its zero value is of an upstream that never had a limit.
type IntervalLimiter struct {
	// limitUntil is the end of the limit that next was drawn for.
	limitUntil, nextAllowed time.Time
}

// Allows reports whether a request may be sent at now to an upstream whose limit
// holds until the given time.
func (g *IntervalLimiter) Allows(share HostRate, until, now time.Time) bool {
	if !now.Before(until) {
		return true
	}
	if !now.Before(g.limitUntil) {
		// Another limit. Its end may change a little with each report, which does
		// not begin a new one.
		g.nextAllowed = now.Add(time.Duration(rand.Float64() * float64(share.interval())))
	}
	g.limitUntil = until
	return !now.Before(g.nextAllowed)
}

// Take counts a request that is sent now, and reports whether it may be.
func (g *IntervalLimiter) Take(share HostRate, until, now time.Time) bool {
	if !g.Allows(share, until, now) {
		return false
	}
	if now.Before(until) {
		g.nextAllowed = now.Add(share.interval())
	}
	return true
}

// longest bounds the gap between a host's requests.
const maxInterval = time.Hour

// interval is the least time between two requests.
func (s HostRate) interval() time.Duration {
	return time.Duration(min(float64(time.Second)/float64(s), float64(maxInterval)))
}
