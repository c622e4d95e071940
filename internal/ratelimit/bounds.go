package ratelimit

import (
	"math"
	"time"
)

// Bounds describe how far an upstream's load may exceed its rate limit: in any
// Window it may receive the requests that the limit allows in that time, times
// Factor, plus Slack.
type Bounds struct {
	Factor, Slack float64
	Window        time.Duration
}

// maxExcessProbability is the highest probability, for any one window, that hosts
// which each keep to their own share of the limit together exceed the bounds.
const maxExcessProbability = 1e-5

// UncoordinatedRate returns the highest rate, in requests a second, at which
// independent hosts together may send to an upstream with a limit of perSecond.
func (b Bounds) UncoordinatedRate(perSecond float64) float64 {
	window := b.Window.Seconds()
	maxRequests := int(perSecond*window*b.Factor + b.Slack)
	if poissonTail(perSecond*window, maxRequests) <= maxExcessProbability {
		return perSecond
	}
	low, high := 0.0, perSecond
	for range bisectionSteps {
		if mid := (low + high) / 2; poissonTail(mid*window, maxRequests) <= maxExcessProbability {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// bisectionSteps reduces the uncertainty of the rate to a thousandth.
const bisectionSteps = 10

// poissonTail returns the probability that a Poisson variable with the given mean
// exceeds maxRequests.
func poissonTail(mean float64, maxRequests int) float64 {
	if mean > normalApproximationMean {
		return normalTail(mean, maxRequests)
	}
	term, sum := math.Exp(-mean), 0.0
	for n := 0; n <= maxRequests; n++ {
		sum += term
		term *= mean / float64(n+1)
	}
	return 1 - sum
}

// normalApproximationMean is the mean above which the normal approximation is
// used: it is close there, and exp(-mean) underflows at larger means.
const normalApproximationMean = 500.0

// normalTail is poissonTail's approximation for large means.
func normalTail(mean float64, maxRequests int) float64 {
	return math.Erfc((float64(maxRequests)+0.5-mean)/math.Sqrt(2*mean)) / 2
}
