// Package warmup divides among the hosts of a fleet what an upstream bears
// during its slow start.
//
// No host sees what the others send, and a message for each request would cost
// more than the request. So each host is given a rate of its own, of which all
// hosts together seldom make use in one moment: a host may send its first
// request at a time that it draws, as do all others, and the next one its gap
// later. Among hosts that draw by themselves the requests of any second are
// spread as by chance, and the rate is such that chance does not bring too many.
package warmup

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds are the sheet's: in any second a cold upstream may get the requests a
// second that it bears, times Factor, plus Slack.
type Bounds struct{ Factor, Slack float64 }

// tooMany is the chance, in any one second, that more requests come to a cold
// upstream than may, if all hosts have more to send than they are allowed.
const tooMany = 1e-5

// Share is how many requests a second one host may send to a cold upstream.
type Share float64

// Unbounded is the share where upstreams bear any number.
var Unbounded = Share(math.Inf(1))

// Rate returns how many requests a second all hosts together may mean to send
// to an upstream that bears perSecond: at most that, and so few that chance
// keeps to the bound.
func (b Bounds) Rate(perSecond float64) float64 {
	most := int(perSecond*b.Factor + b.Slack)
	if poissonTail(perSecond, most) <= tooMany {
		return perSecond
	}
	low, high := 0.0, perSecond
	for range rateSteps {
		if mid := (low + high) / 2; poissonTail(mid, most) <= tooMany {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// rateSteps halve the rate's uncertainty to a thousandth.
const rateSteps = 10

// poissonTail is the chance that more than most of so many expected events
// happen.
func poissonTail(expected float64, most int) float64 {
	term, sum := math.Exp(-expected), 0.0
	for n := 0; n <= most; n++ {
		sum += term
		term *= expected / float64(n+1)
	}
	return 1 - sum
}

// Gate lets one host's requests to one upstream through. Its zero value is of an
// upstream that was never cold.
type Gate struct {
	// until is the end of the slow start that next was drawn for.
	until, next time.Time
}

// Open reports whether a request may be sent at now to an upstream that is cold
// until the given time.
func (g *Gate) Open(share Share, until, now time.Time) bool {
	if !now.Before(until) {
		return true
	}
	if !now.Before(g.until) {
		// Another slow start. Its end is told again and again, a little
		// differently each time, which does not begin a new one.
		g.next = now.Add(time.Duration(rand.Float64() * float64(share.gap())))
	}
	g.until = until
	return !now.Before(g.next)
}

// Take counts a request that is sent now, and reports whether it may be.
func (g *Gate) Take(share Share, until, now time.Time) bool {
	if !g.Open(share, until, now) {
		return false
	}
	if now.Before(until) {
		g.next = now.Add(share.gap())
	}
	return true
}

// longest bounds the gap between a host's requests: over any slow start.
const longest = time.Hour

// gap is the least time between two requests.
func (s Share) gap() time.Duration {
	return time.Duration(min(float64(time.Second)/float64(s), float64(longest)))
}
