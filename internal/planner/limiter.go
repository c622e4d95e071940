package planner

import (
	"math"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// noHandoverLoadFraction is the fraction of the owners' capacity that the load
// on keys reassigned without a handover may reach within one warm-up time.
// Requests for such keys take about five times as long, so this fraction
// occupies half of the owners' time.
const noHandoverLoadFraction = 0.1

// reassignmentLimiter delays the reassignment of lost owners' keys when many
// owners are lost at once; see the package comment.
type reassignmentLimiter struct {
	// warmUp is how long requests for keys are slow after a reassignment without a
	// handover; 0 if they are not.
	warmUp time.Duration
	// loadByKey is the load on each key, capacity the total capacity of the owners.
	loadByKey []float64
	capacity  float64
	// reassignedLoad is the load on recently reassigned keys at updatedAt. It
	// decays with time constant warmUp.
	reassignedLoad float64
	updatedAt      bootclock.Time
}

// setLoad sets the warm-up time and the current load.
func (l *reassignmentLimiter) setLoad(warmUp time.Duration, load ownership.Load) {
	l.warmUp, l.loadByKey, l.capacity = warmUp, load.ByKey, 0
	for _, c := range load.Capacity {
		l.capacity += c
	}
}

// allow reports whether the keys of s may be reassigned now, and if so counts their load.
func (l *reassignmentLimiter) allow(s span, now bootclock.Time) bool {
	if l.warmUp == 0 || len(l.loadByKey) == 0 {
		return true
	}
	l.reassignedLoad *= math.Exp(-now.Sub(l.updatedAt).Seconds() / l.warmUp.Seconds())
	l.updatedAt = now
	budget := l.capacity * noHandoverLoadFraction
	if l.reassignedLoad >= budget {
		return false
	}
	for k := s.from; k <= s.to; k++ {
		l.reassignedLoad += min(l.loadByKey[k], budget)
	}
	return true
}
