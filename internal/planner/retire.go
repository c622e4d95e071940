package planner

import (
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// retireRetryDelay is the delay before a previous planner that has not retired
// is asked again. Its grants in flight complete within 0.3 s.
const retireRetryDelay = 300 * time.Millisecond

// previousPlanner is a planner of an earlier term. Until it is known to have
// stopped, it may still send grants, and a process of its host that has ended
// may have left some in the network; see the package comment.
type previousPlanner struct {
	ownership.PlannerHost
	// grantsUntil is the latest time at which it may send a grant, dialsUntil
	// the latest at which it may open a connection for one.
	grantsUntil, dialsUntil bootclock.Time
	// endedBy is the latest time at which a process of its host that sent grants
	// may have ended, or stalled, without closing its connections.
	endedBy        bootclock.Time
	retired        bool
	retireInFlight bool
	nextRetireAt   bootclock.Time
}

// arrivalsUntil returns the latest time at which a grant that it sent may arrive,
// apart from the network delay that maxGrantValidity includes.
func (p *previousPlanner) arrivalsUntil(maxHoldUp time.Duration) bootclock.Time {
	return max(p.grantsUntil, p.endedBy.Add(maxHoldUp))
}

// newPreviousPlanners returns the planners that may still send grants when the
// term starts. The last of them has lost the lease by now; the others had when
// the last one's term was seen.
func (t *term) newPreviousPlanners(now bootclock.Time) []*previousPlanner {
	var out []*previousPlanner
	for _, host := range t.table.PreviousPlanners {
		leaseLostBy := now
		switch {
		case host.Host == "":
			leaseLostBy = t.p.eraSeenAt
		case t.base != nil && host.Host != t.base.Planner:
			leaseLostBy = t.baseTermSeenAt
		}
		grantsUntil := leaseLostBy.Add(t.p.opts.MaxRenewalAge)
		prev := &previousPlanner{PlannerHost: host, grantsUntil: grantsUntil, dialsUntil: leaseLostBy.Add(recentRenewalAge), endedBy: grantsUntil}
		if host.Host == t.p.opts.Host {
			// This process, whose earlier terms have ended, or an earlier
			// process of this host, which has exited.
			prev.markStopped(now, t.p.startedBy(now))
			if past := t.p.pastTerms[t.name]; past != nil {
				prev.grantsUntil = max(prev.grantsUntil, past.grantsArriveBy(now))
			}
		}
		out = append(out, prev)
	}
	return out
}

// markStopped records that the planner sends nothing any more, and that the process of its host
// which confirmed this had started by processStartedAt.
func (p *previousPlanner) markStopped(now, processStartedAt bootclock.Time) {
	p.retired = true
	p.grantsUntil = min(p.grantsUntil, now)
	p.dialsUntil = min(p.dialsUntil, now)
	p.endedBy = min(p.endedBy, processStartedAt)
}

// dueRetires returns the Retire calls to make now.
func (t *term) dueRetires(now bootclock.Time) []Action {
	var out []Action
	for _, prev := range t.previous.planners {
		if prev.Host == "" || prev.retired || prev.retireInFlight || now.Before(prev.nextRetireAt) || prev.arrivalsUntil(t.p.maxHoldUp()).Before(now) {
			continue
		}
		prev.retireInFlight = true
		out = append(out, &Retire{Service: t.name, Host: prev.Host, Addr: prev.Addr, Term: t.number})
	}
	return out
}

// previousPlannersForRecord returns the previous planners that the next record
// must list: all of them while a grant of one may still arrive, and none after that.
func (t *term) previousPlannersForRecord(now bootclock.Time) []ownership.PlannerHost {
	if t.previous.arrivalsUntil(t.p.maxHoldUp()).Before(now) {
		return nil
	}
	return t.table.PreviousPlanners
}

// RetireDone handles the result of a Retire; the zero value stands for no response.
func (p *Planner) RetireDone(r *Retire, result ownership.Retirement, now bootclock.Time) {
	t := p.terms[r.Service]
	if t != nil && t.closingRequest == r {
		t.closingRequestDone(result, now)
		return
	}
	if t == nil || t.number != r.Term {
		return
	}
	for _, prev := range t.previous.planners {
		if prev.Host != r.Host {
			continue
		}
		prev.retireInFlight = false
		prev.nextRetireAt = now.Add(retireRetryDelay)
		if result.Retired && result.Host == r.Host {
			prev.markStopped(now, now.Add(-result.ProcessAge))
		}
	}
}

// Retire ends this host's planning, at the request of a newer planner, if this
// host's term of the service comes before nextTerm.
func (p *Planner) Retire(service string, nextTerm int64, now bootclock.Time) ownership.Retirement {
	result := ownership.Retirement{Host: p.opts.Host, ProcessAge: now.Sub(p.startedBy(now))}
	if t := p.terms[service]; t != nil {
		if t.started && t.number >= nextTerm {
			return result // the caller itself was superseded
		}
		p.OnEvent(Event{Kind: TermEnded, Service: service, Table: t.table, Age: now.Sub(p.lease.renewedAt)})
		p.lease.held = false
		p.dropTerms()
	}
	c := p.closings[service]
	if c != nil && !c.done() {
		return result
	}
	if t := p.pastTerms[service]; t != nil && now.Before(t.grantsArriveBy(now)) {
		return result
	}
	if c != nil {
		c.handedOver = true
		result.Closing = c.result()
	}
	result.Retired = true
	return result
}

// grantsArriveBy returns the latest time at which a grant that this process sent in the term, or had a
// helper send, may arrive.
func (t *term) grantsArriveBy(now bootclock.Time) bootclock.Time {
	last := bootclock.Time(0)
	for _, srv := range t.servers {
		last = max(last, srv.noResponseAt)
		if srv.grantsInFlight > 0 { // the helper that sends it may be lost
			last = max(last, now.Add(relayedGrantLifetime+t.p.maxHoldUp()))
		}
	}
	return last
}
