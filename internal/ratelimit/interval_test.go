package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Independent hosts must not exceed a cold upstream's rate limit together, whether
// there is one or thousands, and must use at least half of it.
func TestColdUpstreamRateLimitHoldsAcrossHosts(t *testing.T) {
	const (
		upstreams = 40
		perSecond = 4.4
		lasts     = 3 * time.Second
		step      = 5 * time.Millisecond
	)
	b := Bounds{Factor: 1.5, Slack: 8, Window: time.Second}
	most := int(perSecond*b.Factor + b.Slack)
	for _, hosts := range []int{1, 12, 79, 300, 3300} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			served := 0
			for range upstreams {
				start := time.Now()
				gates := make([]IntervalLimiter, hosts)
				share := HostRate(b.UncoordinatedRate(perSecond) / float64(hosts))
				var sent []time.Time
				for now := start; now.Before(start.Add(lasts)); now = now.Add(step) {
					for i := range gates {
						if gates[i].Take(share, start.Add(lasts), now) {
							sent = append(sent, now)
						}
					}
				}
				served += len(sent)
				first := 0
				for i, at := range sent {
					for at.Sub(sent[first]) >= time.Second {
						first++
					}
					if n := i - first + 1; n > most {
						t.Errorf("%d requests within a second, %d allowed", n, most)
					}
				}
			}
			capacity := perSecond * lasts.Seconds() * upstreams
			if got := float64(served); got < capacity/2 || got > capacity*1.1 {
				t.Errorf("%v requests served in all, the upstreams take %v", got, capacity)
			}
		})
	}
}

// A gate is shut for a host that has no share, and open where nothing is cold or
// nothing bounds it.
func TestIntervalLimiter(t *testing.T) {
	now := time.Now()
	cold := now.Add(time.Second)
	for _, c := range []struct {
		share HostRate
		until time.Time
		want  bool
	}{{0, cold, false}, {0, now, true}, {HostRate(math.Inf(1)), cold, true}} {
		var g IntervalLimiter
		if got := g.Take(c.share, c.until, now); got != c.want {
			t.Errorf("share %v, cold for %v: %v", c.share, c.until.Sub(now), got)
		}
	}
}

// The rate leaves room for chance, and is never over what the upstream takes.
func TestUncoordinatedRate(t *testing.T) {
	for _, c := range []struct {
		bounds    Bounds
		perSecond float64
	}{{Bounds{1.5, 8, time.Second}, 4.4}, {Bounds{1, 0, time.Second}, 4}, {Bounds{1, 0, time.Second}, 0.5}, {Bounds{2, 100, time.Second}, 10}} {
		rate := c.bounds.UncoordinatedRate(c.perSecond)
		tail := poissonTail(rate, int(c.perSecond*c.bounds.Factor+c.bounds.Slack))
		if rate > c.perSecond || tail > maxExcessProbability || math.IsNaN(rate) {
			t.Errorf("%+v at %v a second: rate %v, chance of too many %v", c.bounds, c.perSecond, rate, tail)
		}
	}
}
