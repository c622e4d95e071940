package planner

import (
	"errors"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

const (
	// directRetryInterval is how long grants to an upstream go through a helper before one is sent
	// directly again.
	directRetryInterval = 3 * time.Second
	// indirectAttempts is how many calls in a row go through helpers before one is sent directly again,
	// and how many must have failed for an upstream to count as unresponsive: a helper may have just
	// lost its own paths.
	indirectAttempts = 3
	// indirectRetryDelay replaces grantRetryDelay after a grant without a response that is repeated
	// through a helper: the timeout has used up a tenth of the grant.
	indirectRetryDelay = 20 * time.Millisecond
	// relayedGrantLifetime is how long after this host decided on a grant a helper may be sending it.
	relayedGrantLifetime = 300 * time.Millisecond
)

// paths is what this host knows of the ways to reach upstreams.
type paths struct {
	// cutOff is set while this host has lost its paths to all upstreams, hasHelper while another host
	// can send grants for it.
	cutOff, hasHelper bool
}

// blind reports whether no failed grant shows anything about an upstream.
func (p paths) blind() bool { return p.cutOff && !p.hasHelper }

// ObservePaths records whether this host has lost its paths to all upstreams, and whether another host
// can send grants for it.
func (p *Planner) ObservePaths(cutOff, hasHelper bool) { p.paths = paths{cutOff, hasHelper} }

// route is the way by which calls reach a server.
type route struct {
	// indirect is set if the next call goes through a helper; directAt is when one is sent directly
	// again.
	indirect bool
	directAt bootclock.Time
	// directFailed is set once a call that was sent directly got no response since the server last
	// responded. indirectFailures counts those sent through helpers.
	directFailed     bool
	indirectFailures int
}

// next reports whether the next call goes through a helper.
func (r *route) next(p paths, now bootclock.Time) bool {
	if r.indirect && !p.cutOff && !now.Before(r.directAt) {
		r.indirect = false
	}
	return p.hasHelper && (p.cutOff || r.indirect)
}

// record records the result of a call. After one without a response the next goes through a helper,
// and after indirectAttempts of these directly.
func (r *route) record(indirect bool, err error, now bootclock.Time) {
	if !errors.Is(err, ownership.ErrNotSent) && !errors.Is(err, ownership.ErrNoResponse) {
		r.directFailed, r.indirectFailures = false, 0
		return
	}
	if !indirect {
		r.indirect, r.directFailed, r.directAt = true, true, now.Add(directRetryInterval)
		return
	}
	r.indirectFailures++
	r.indirect = r.indirectFailures%indirectAttempts != 0
}

// retryDelay returns the delay before a grant that failed with err is repeated.
func (r *route) retryDelay(p paths, err error, now bootclock.Time) time.Duration {
	if errors.Is(err, ownership.ErrNoResponse) && r.next(p, now) {
		return indirectRetryDelay
	}
	return grantRetryDelay
}

// failed reports whether the server got no grant in any of the ways that there are.
func (r *route) failed(p paths) bool {
	switch {
	case p.blind():
		return false
	case p.cutOff:
		return r.indirectFailures >= indirectAttempts
	case p.hasHelper:
		return r.directFailed && r.indirectFailures >= indirectAttempts
	}
	return true
}

// startedBy returns when this process first ticked, now if it has not yet.
func (p *Planner) startedBy(now bootclock.Time) bootclock.Time {
	if p.startedAt == 0 {
		p.startedAt = now
	}
	return p.startedAt
}
