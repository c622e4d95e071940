// Package decay keeps sums whose parts fade with time, for rates and means
// that follow what happened lately.
package decay

import (
	"math"
	"time"
)

// Sum is a sum whose parts fade with a time constant. The same constant is
// passed to every call.
type Sum struct {
	sum       float64
	updatedAt time.Time
}

// Add adds x at now.
func (s *Sum) Add(x float64, tau time.Duration, now time.Time) {
	s.sum = s.Value(tau, now) + x
	s.updatedAt = now
}

// Value returns what is left of the sum at now.
func (s *Sum) Value(tau time.Duration, now time.Time) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * math.Exp(-now.Sub(s.updatedAt).Seconds()/tau.Seconds())
}

// EffectiveWindow is the time, in seconds, over which a sum that began age ago has
// gathered: its value divided by it is a rate.
func EffectiveWindow(tau, age time.Duration) float64 {
	return tau.Seconds() * (1 - math.Exp(-age.Seconds()/tau.Seconds()))
}
