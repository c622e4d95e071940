// Package budget limits how often requests are retried.
//
// All hosts share the budget without communicating: the retries that a request
// allows are available to the host that received it, and the fixed number is
// divided among the hosts.
package budget

import (
	"sync"
	"time"
)

// Limits are one host's share of the budget.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the fixed number of retries allowed per window, in addition to
	// those by Ratio.
	Slack float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// A window is counted in windowSteps steps. The ring holds one more, since the
// current step is incomplete: with windowSteps alone, a burst of retries would
// drop out of the count up to one step before the window has passed, and could
// be repeated too early.
const (
	windowSteps = 10
	ringSteps   = windowSteps + 1
)

// safetyFactor is the fraction of the budget that is used. The windows of
// different hosts do not begin at the same time, and retries sent at different
// times may reach an upstream together.
const safetyFactor = 0.8

// firstWindowFactor is the additional factor in the first window of a process.
// The previous process may have used its whole budget just before it ended, within
// the same window: hosts that are killed together and restart at once could exceed
// the allowed retries.
const firstWindowFactor = 0.35

// urgentReserveShare is the fraction of a service's budget that is reserved for
// urgent requests. Without it, while all upstreams of a service are overloaded and
// reject more than half of the requests, less urgent requests would use up the
// budget, and urgent ones would get no retries.
const urgentReserveShare = 0.5

// stepCounts are the counts of one step; steps are numbered from Budget.start.
type stepCounts struct {
	step     int64
	requests int
	retries  int
}

// Budget counts requests and retries by service. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	rings  map[string]*[ringSteps]stepCounts
	start  time.Time
}

// New returns the budget of a process that starts at now.
func New(l Limits, now time.Time) *Budget {
	return &Budget{limits: l, rings: map[string]*[ringSteps]stepCounts{}, start: now}
}

// SetLimits replaces the limits, for example after the number of hosts has changed.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// RecordRequest counts one request to service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentCounts(service, now).requests++
}

// AllowRetry takes one retry from the service's budget and reports whether one was
// left. Requests that are not urgent cannot use the urgent reserve.
func (b *Budget) AllowRetry(service string, urgent bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, allowed := b.remaining(service, now)
	if left < 1 || (!urgent && left <= urgentReserveShare*allowed) {
		return false
	}
	b.currentCounts(service, now).retries++
	return true
}

// Remaining returns how many retries each service has left, for metrics.
func (b *Budget) Remaining(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]float64{}
	for service := range b.rings {
		out[service], _ = b.remaining(service, now)
	}
	return out
}

// remaining returns how many retries the service has left in the current window, and
// how many it is allowed in that window in all.
func (b *Budget) remaining(service string, now time.Time) (left, allowed float64) {
	cur := b.currentCounts(service, now)
	requests, retries := 0, 0
	for _, c := range b.rings[service] {
		if cur.step-c.step < ringSteps {
			requests += c.requests
			retries += c.retries
		}
	}
	// The conversion rounds: where the compiler fuses operations, half a retry too many would be left.
	usable := float64((float64(requests)*b.limits.Ratio + b.limits.Slack) * b.usableShare(now))
	return usable - float64(retries), usable
}

// usableShare returns the fraction of the budget that may be used.
func (b *Budget) usableShare(now time.Time) float64 {
	if now.Sub(b.start) < b.limits.Window {
		return safetyFactor * firstWindowFactor
	}
	return safetyFactor
}

// currentCounts returns the counts of the step that contains now, and clears them
// if the step is new.
func (b *Budget) currentCounts(service string, now time.Time) *stepCounts {
	ring := b.rings[service]
	if ring == nil {
		ring = &[ringSteps]stepCounts{}
		b.rings[service] = ring
	}
	// Steps are counted from start by the monotonic clock. With wall clock time,
	// setting the clock back by seconds would empty the window, and the whole
	// budget could be used again within it.
	step := int64(now.Sub(b.start) / (b.limits.Window / windowSteps))
	c := &ring[step%ringSteps]
	if c.step != step {
		*c = stepCounts{step: step}
	}
	return c
}
