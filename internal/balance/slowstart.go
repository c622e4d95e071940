package balance

import (
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ratelimit"
)

// SlowStart is the slow start of a service's upstreams and this host's rate limit
// during it.
type SlowStart struct {
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// Share returns this host's share of a cold upstream's rate limit; nil if there is
	// no limit.
	Share func() ratelimit.HostRate
}

// SlowStartAllows reports whether the upstream is warm or this host's share of its slow
// start rate limit allows a request now.
func (p *Picker) SlowStartAllows(u *catalogue.Upstream, s SlowStart, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slowStartAllows(p.state(u.ID), u, s, now)
}

// slowStartAllows is SlowStartAllows for the upstream of this state.
func (p *Picker) slowStartAllows(st *upstreamState, u *catalogue.Upstream, s SlowStart, now time.Time) bool {
	until := p.slowStartUntil(st, u, s.Duration, now)
	return s.Share == nil || !now.Before(until) || st.slowStartLimiter.Allows(s.Share(), until, now)
}

// TakeSlowStartPermit is like SlowStartAllows for a request that is sent now, and counts
// the request.
func (p *Picker) TakeSlowStartPermit(u *catalogue.Upstream, s SlowStart, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.state(u.ID)
	until := p.slowStartUntil(st, u, s.Duration, now)
	return s.Share == nil || !now.Before(until) || st.slowStartLimiter.Take(s.Share(), until, now)
}
