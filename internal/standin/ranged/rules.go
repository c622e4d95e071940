package ranged

import "time"

// What upstreams that report of themselves may get from hosts that have received an
// answer which says so.
const (
	// BoundAfter is how long after an answer a host is bound by it.
	BoundAfter = 500 * time.Millisecond
	// DrainBound is how long after a report of leaving the last request may be sent.
	DrainBound = 2 * time.Second
	// RestSlack is how many requests of a host may come within a rest.
	RestSlack = 2
	// LimitWindow, limitFactor and limitSlack bound the requests to an upstream with
	// a rate limit.
	LimitWindow             = 4 * time.Second
	limitFactor, limitSlack = 1.5, 5.0
)

// MostWithin returns how many requests may come within LimitWindow to an upstream
// that takes perSecond.
func MostWithin(perSecond float64) int {
	return int(perSecond*LimitWindow.Seconds()*limitFactor + limitSlack)
}

// OverRest returns how many requests of one host came within a rest that an answer of
// these arrivals asked for, and when that was, of the first rest with more than
// RestSlack that counts; 0 if there is none.
func OverRest(all []Arrival, rest time.Duration, counts func(asked, at time.Time) bool) (n int, asked time.Time) {
	for _, first := range all {
		n := 0
		for _, a := range all {
			if since := a.At.Sub(first.At); since > BoundAfter && since < rest && counts(first.At, a.At) {
				n++
			}
		}
		if n > RestSlack {
			return n, first.At
		}
	}
	return 0, time.Time{}
}
