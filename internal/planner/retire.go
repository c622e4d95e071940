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
// stopped, it may still send grants; see the package comment.
type previousPlanner struct {
	ownership.PlannerHost
	// grantsUntil is the latest time at which it may send a grant, dialsUntil
	// the latest at which it may open a connection for one.
	grantsUntil, dialsUntil bootclock.Time
	retired                 bool
	retireInFlight          bool
	nextRetireAt            bootclock.Time
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
		prev := &previousPlanner{PlannerHost: host, grantsUntil: leaseLostBy.Add(t.p.opts.MaxRenewalAge), dialsUntil: leaseLostBy.Add(recentRenewalAge)}
		if host.Host == t.p.opts.Host {
			// This process, whose earlier terms have ended, or an earlier
			// process of this host, which has exited.
			prev.markStopped(max(now, t.p.startedBy(now).Add(relayedGrantLifetime)))
		}
		out = append(out, prev)
	}
	return out
}

// markStopped records that the planner sends nothing any more.
func (p *previousPlanner) markStopped(now bootclock.Time) {
	p.retired = true
	p.grantsUntil = min(p.grantsUntil, now)
	p.dialsUntil = min(p.dialsUntil, now)
}

// dueRetires returns the Retire calls to make now.
func (t *term) dueRetires(now bootclock.Time) []Action {
	var out []Action
	for _, prev := range t.previous.planners {
		if prev.Host == "" || prev.retired || prev.retireInFlight || now.Before(prev.nextRetireAt) || prev.grantsUntil.Before(now) {
			continue
		}
		prev.retireInFlight = true
		out = append(out, &Retire{Service: t.name, Host: prev.Host, Addr: prev.Addr, Term: t.number})
	}
	return out
}

// previousPlannersForRecord returns the previous planners that the next record
// must list: all of them while one may still send grants, and none after that.
func (t *term) previousPlannersForRecord(now bootclock.Time) []ownership.PlannerHost {
	if t.previous.grantsUntil().Before(now) {
		return nil
	}
	return t.table.PreviousPlanners
}

// RetireDone handles the result of a Retire: the name of the host that
// responded, whether it has retired, and the closing of its last term if the log has returned
// since. A process that was started after the term began always has retired.
func (p *Planner) RetireDone(r *Retire, host string, retired bool, closing *ownership.Table, now bootclock.Time) {
	t := p.terms[r.Service]
	if t != nil && t.closingRequest == r {
		t.closingRequestDone(host, retired, closing, now)
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
		if retired && host == r.Host {
			prev.markStopped(now)
		}
	}
}

// Retire ends this host's planning, at the request of a newer planner, if this
// host's term of the service comes before nextTerm. It reports whether no grant
// of the service's past term is in flight any more. If the log has returned from an older copy,
// it then returns the closing of that term too.
func (p *Planner) Retire(service string, nextTerm int64, now bootclock.Time) (retired bool, closing *ownership.Table) {
	if t := p.terms[service]; t != nil {
		if t.started && t.number >= nextTerm {
			return false, nil // the caller itself was superseded
		}
		p.OnEvent(Event{Kind: TermEnded, Service: service, Table: t.table, Age: now.Sub(p.lease.renewedAt)})
		p.lease.held = false
		p.dropTerms()
	}
	c := p.closings[service]
	if c != nil && !c.done() {
		return false, nil
	}
	if now.Sub(p.startedBy(now)) < relayedGrantLifetime {
		return false, nil
	}
	if t := p.pastTerms[service]; t != nil && t.grantsInFlight() > 0 {
		return false, nil
	}
	if c != nil {
		c.handedOver = true
		closing = c.result()
	}
	return true, closing
}

func (t *term) grantsInFlight() int {
	total := 0
	for _, srv := range t.servers {
		total += srv.grantsInFlight
	}
	return total
}
