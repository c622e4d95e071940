package planner

import (
	"math"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// coldShare is the part of what the owners can do that keys may be asked for
// which are placed anew, without a handover, within the time in which such keys
// are slow. Work on them takes some five times as long, so that this much keeps
// half of the owners' time busy.
const coldKeyLoadFraction = 0.1

// placementLimiter holds the keys of lost owners back where too many are lost at once.
//
// Keys that come without a handover are slow for seconds. A cut takes a third of
// the owners away: their keys, all placed on the others as soon as their leases
// had run out, asked those for twice what they could do, and callers of all keys
// were refused for as long as the cut lasted and some seconds more, also those
// whose owners had never been lost. Placed as the others can bear it, some keys
// wait longer, mostly until their owners are back.
type placementLimiter struct {
	// warmUp is how long such keys are slow; 0 if they are not.
	warmUp time.Duration
	// loadByKey is what the keys are asked for, capacity what the owners can do.
	loadByKey []float64
	capacity  float64
	// placedLoad is what was placed lately, as of at.
	placedLoad float64
	updatedAt  bootclock.Time
}

// setLoad takes in what is known of the load.
func (l *placementLimiter) setLoad(warmUp time.Duration, load ownership.Load) {
	l.warmUp, l.loadByKey, l.capacity = warmUp, load.ByKey, 0
	for _, c := range load.Capacity {
		l.capacity += c
	}
}

// allow reports whether the keys may be placed now, and counts them if so.
func (l *placementLimiter) allow(s span, now bootclock.Time) bool {
	if l.warmUp == 0 || len(l.loadByKey) == 0 {
		return true
	}
	l.placedLoad *= math.Exp(-now.Sub(l.updatedAt).Seconds() / l.warmUp.Seconds())
	l.updatedAt = now
	budget := l.capacity * coldKeyLoadFraction
	if l.placedLoad >= budget {
		return false
	}
	for k := s.from; k <= s.to; k++ {
		l.placedLoad += min(l.loadByKey[k], budget)
	}
	return true
}
