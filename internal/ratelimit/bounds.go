package ratelimit

import (
	"math"
	"time"
)

// Bounds are the sheet's: in any Window an upstream may get the requests that its
// rate allows in that time, times Factor, plus Slack.
type Bounds struct {
	Factor, Slack float64
	Window        time.Duration
}

// maxOvershoot is the greatest probability, in any one window, that hosts which
// each keep to their own share exceed the bound together.
const maxExcessProbability = 1e-5

// UncoordinatedRate returns the highest rate, in requests a second, at which independent hosts
// may send together to an upstream that takes perSecond.
func (b Bounds) UncoordinatedRate(perSecond float64) float64 {
	window := b.Window.Seconds()
	most := int(perSecond*window*b.Factor + b.Slack)
	if poissonTail(perSecond*window, most) <= maxExcessProbability {
		return perSecond
	}
	low, high := 0.0, perSecond
	for range bisectionSteps {
		if mid := (low + high) / 2; poissonTail(mid*window, most) <= maxExcessProbability {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// rateSteps halve the rate's uncertainty to a thousandth.
const bisectionSteps = 10

// poissonTail is the probability of more than most events where so many are
// expected.
func poissonTail(expected float64, most int) float64 {
	if expected > normalApproximationMean {
		return normalTail(expected, most)
	}
	term, sum := math.Exp(-expected), 0.0
	for n := 0; n <= most; n++ {
		sum += term
		term *= expected / float64(n+1)
	}
	return 1 - sum
}

// largeMean is the mean above which exp(-mean) underflows soon and the normal
// approximation is close.
const normalApproximationMean = 500.0

func normalTail(expected float64, most int) float64 {
	return math.Erfc((float64(most)+0.5-expected)/math.Sqrt(2*expected)) / 2
}
