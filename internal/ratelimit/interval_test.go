package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Independent hosts must not exceed a cold upstream's rate limit together, whether
// there is one or thousands, and must use at least half of it. They exceed it if
// their first requests coincide or their shares leave no room for random bursts.
func TestColdUpstreamRateLimitHoldsAcrossHosts(t *testing.T) {
	const (
		upstreams = 40
		perSecond = 4.4
		coldFor   = 3 * time.Second
		step      = 5 * time.Millisecond
	)
	b := Bounds{Factor: 1.5, Slack: 8, Window: time.Second}
	maxRequests := int(perSecond*b.Factor + b.Slack)
	for _, hosts := range []int{1, 12, 79, 300, 3300} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			sentTotal := 0
			for range upstreams {
				start := time.Now()
				limiters := make([]IntervalLimiter, hosts)
				rate := HostRate(b.UncoordinatedRate(perSecond) / float64(hosts))
				var sent []time.Time
				for now := start; now.Before(start.Add(coldFor)); now = now.Add(step) {
					for i := range limiters {
						if limiters[i].Take(rate, start.Add(coldFor), now) {
							sent = append(sent, now)
						}
					}
				}
				sentTotal += len(sent)
				first := 0
				for i, at := range sent {
					for at.Sub(sent[first]) >= time.Second {
						first++
					}
					if n := i - first + 1; n > maxRequests {
						t.Errorf("%d requests within a second, %d allowed", n, maxRequests)
					}
				}
			}
			capacity := perSecond * coldFor.Seconds() * upstreams
			if got := float64(sentTotal); got < capacity/2 || got > capacity*1.1 {
				t.Errorf("%v requests sent in total, want between half and 110%% of the capacity %v", got, capacity)
			}
		})
	}
}

// A host whose share is zero must send nothing while a limit holds. Without a limit,
// or with an unbounded share, no request may be denied.
func TestIntervalLimiter(t *testing.T) {
	now := time.Now()
	coldUntil := now.Add(time.Second)
	for _, c := range []struct {
		rate       HostRate
		limitUntil time.Time
		want       bool
	}{{0, coldUntil, false}, {0, now, true}, {HostRate(math.Inf(1)), coldUntil, true}} {
		var l IntervalLimiter
		if got := l.Take(c.rate, c.limitUntil, now); got != c.want {
			t.Errorf("rate %v, limit ends in %v: allowed = %v, want %v", c.rate, c.limitUntil.Sub(now), got, c.want)
		}
	}
}

// The rate never exceeds the limit, and is low enough that random bursts of
// independent hosts stay within the bounds.
func TestUncoordinatedRate(t *testing.T) {
	for _, c := range []struct {
		bounds    Bounds
		perSecond float64
	}{{Bounds{1.5, 8, time.Second}, 4.4}, {Bounds{1, 0, time.Second}, 4}, {Bounds{1, 0, time.Second}, 0.5}, {Bounds{2, 100, time.Second}, 10}} {
		rate := c.bounds.UncoordinatedRate(c.perSecond)
		tail := poissonTail(rate, int(c.perSecond*c.bounds.Factor+c.bounds.Slack))
		if rate > c.perSecond || tail > maxExcessProbability || math.IsNaN(rate) {
			t.Errorf("bounds %+v, limit %v a second: rate %v, probability of exceeding the bounds %v", c.bounds, c.perSecond, rate, tail)
		}
	}
}
