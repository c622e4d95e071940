// Package decay keeps exponentially decaying sums, for rates and means of recent
// events.
package decay

import (
	"math"
	"time"
)

// Sum is an exponentially decaying sum. All calls must pass the same time constant
// tau. The zero value is empty.
type Sum struct {
	sum       float64
	updatedAt time.Time
}

// Add adds x to the sum at now.
func (s *Sum) Add(x float64, tau time.Duration, now time.Time) {
	s.sum = s.Value(tau, now) + x
	s.updatedAt = now
}

// Value returns the decayed sum at now.
func (s *Sum) Value(tau time.Duration, now time.Time) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * math.Exp(-now.Sub(s.updatedAt).Seconds()/tau.Seconds())
}

// EffectiveWindow returns the effective length, in seconds, of the window of a sum that
// began age ago: the sum's value divided by it is the rate per second.
func EffectiveWindow(tau, age time.Duration) float64 {
	return tau.Seconds() * (1 - math.Exp(-age.Seconds()/tau.Seconds()))
}
