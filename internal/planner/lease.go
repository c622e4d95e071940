package planner

import (
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/view"
)

type plannerLease struct {
	held       bool
	acquiredAt bootclock.Time
	// member is set from the first lease request until this host leaves the election.
	member          bool
	renewedAt       bootclock.Time
	requestInFlight bool
	// lastCompletedAt is when the last lease request completed, successfully or
	// not, nextRequestAt when the next one is due.
	lastCompletedAt, nextRequestAt bootclock.Time
}

// IsPlanner reports whether this host may act as the planner now. It is true
// for MaxRenewalAge after the last lease renewal, even if the lease has expired
// since, unless this host knows that it no longer holds the lease.
func (p *Planner) IsPlanner(now bootclock.Time) bool {
	return p.lease.held && now.Sub(p.lease.renewedAt) <= p.opts.MaxRenewalAge
}

// SoleWriter reports whether this host knows every record of the ownership
// stream: it renewed the lease within recentRenewalAge, is not shutting down, and
// no append has failed and no upstream has shown a newer planner's token after the end
// of the stream was last known.
func (p *Planner) SoleWriter(now bootclock.Time) bool {
	// Otherwise only a read shows where the stream ends: every later append would conflict, and
	// without any read in the present era no term would start.
	endKnown := !p.streamEndUncertain && p.streamEndInPresentEra()
	return p.IsPlanner(now) && !p.shuttingDown && endKnown && now.Sub(p.lease.renewedAt) <= recentRenewalAge
}

// streamEndInPresentEra reports whether the stream has been read in the log's present era.
func (p *Planner) streamEndInPresentEra() bool { return p.streamEnd.Era == p.era }

// dueAcquireLease returns the next lease request if it is due, or nil.
func (p *Planner) dueAcquireLease(now bootclock.Time, v *view.View) Action {
	if p.shuttingDown || p.lease.requestInFlight || now.Before(p.lease.nextRequestAt) || v.Desired == nil || len(v.Desired.KeyedServices()) == 0 {
		return nil
	}
	if p.plannerSeenAt == 0 || !p.plannerExpected(now, v) {
		p.plannerSeenAt = now // a planner may not have published a table yet
	}
	if !p.opts.Candidate && !p.lease.held && (p.logUnreachable || now.Sub(p.plannerSeenAt) < noPlannerTimeout) {
		// With logUnreachable: at the end of a network partition, the lease requests of all
		// non-candidates behind it would arrive before any of them found the planner.
		return nil
	}
	p.lease.requestInFlight, p.lease.member = true, true
	ttl := p.opts.LeaseTTL
	if !p.lease.held {
		ttl *= 2
	}
	return &AcquireLease{TTL: ttl, SentAt: now}
}

// shouldLeaveElection reports whether this host should leave the election: it
// is shutting down, or it is not a candidate and another host is the planner. A
// member that merely stops its requests can still be assigned the lease until
// its membership lapses, which would leave the fleet without a planner for 2.6 s.
func (p *Planner) shouldLeaveElection(now bootclock.Time) bool {
	if !p.lease.member || p.lease.requestInFlight {
		return false
	}
	return p.shuttingDown || (!p.opts.Candidate && !p.lease.held && now.Sub(p.plannerSeenAt) < noPlannerTimeout)
}

// plannerExpected reports whether a planner, if there is one, has published a table
// by now: it does so once it holds the lease, at most minRegistrationWait after the
// first upstream was in the view. Without the check one of the hosts that are not candidates,
// 85 in one fleet, would get the lease at each start of a fleet, before the first table.
func (p *Planner) plannerExpected(now bootclock.Time, v *view.View) bool {
	if len(v.Tables) > 0 {
		return true
	}
	for _, reg := range p.registrations {
		if now.Sub(reg.firstAt) > minRegistrationWait {
			return true
		}
	}
	return false
}

// ShouldStepDown reports whether this host is the planner without being a
// candidate and may step down now: after stepDownAfterTTLs lease TTLs the
// other non-candidates have seen a planner and their memberships have lapsed, so the
// lease goes to a candidate. The caller must check that there is one.
func (p *Planner) ShouldStepDown(now bootclock.Time) bool {
	heldLongEnough := now.Sub(p.lease.acquiredAt) > time.Duration(stepDownAfterTTLs*float64(p.opts.LeaseTTL))
	return !p.opts.Candidate && p.IsPlanner(now) && !p.lease.requestInFlight && heldLongEnough
}

// StepDown ends this host's terms in favour of a candidate; the next Tick makes
// the host leave the election. Its grants remain valid for up to GrantTTL. The
// next planner learns from its next lease request, within about acquireFraction
// of LeaseTTL, that it holds the lease, and then renews them.
func (p *Planner) StepDown(now bootclock.Time) {
	// The cause is an established log text. It means that a candidate can take over.
	p.OnEvent(Event{Kind: LeaseLost, Cause: "a stronger host is there", Age: now.Sub(p.lease.renewedAt)})
	p.lease.held = false
	p.plannerSeenAt = now
	p.dropTerms()
}

// AcquireLeaseDone handles the result of an AcquireLease. held is whether this
// host holds the lease.
func (p *Planner) AcquireLeaseDone(a *AcquireLease, held bool, err error, now bootclock.Time) {
	p.lease.requestInFlight = false
	p.lease.lastCompletedAt = now
	fraction := acquireFraction
	if p.lease.held {
		fraction = renewFraction
	}
	p.lease.nextRequestAt = now.Add(time.Duration(fraction * float64(p.opts.LeaseTTL)))
	if err != nil {
		return
	}
	switch {
	case held && !p.lease.held:
		p.OnEvent(Event{Kind: LeaseAcquired})
		p.lease.acquiredAt = now
		p.lease.nextRequestAt = now.Add(time.Duration(renewFraction * float64(p.opts.LeaseTTL)))
	case !held && p.lease.held:
		p.OnEvent(Event{Kind: LeaseLost, Age: now.Sub(p.lease.renewedAt)})
		p.dropTerms()
	}
	p.lease.held = held
	if held {
		p.lease.renewedAt = a.SentAt
	}
}
