package planner

import (
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// retryRetire is the pause before a planner that has not retired is asked
// again; its grants under way end within 0.3 s.
const retireRetryDelay = 300 * time.Millisecond

// previousPlanner is a planner of an earlier term.
//
// Until it is known to have stopped, the keys of owners that do not answer
// this planner may still be granted to them: they stayed without an owner for
// ViewAge and a lease, 9.2 s, after each change of planner. A predecessor that
// was stopped or restarted, or lives, says so in a few milliseconds. One that
// is cut off or stands still does not, and is waited for. All that may still
// send are asked, not only the last: where the seat changed hands five times in
// ten seconds, the one before the last was waited for each time.
type previousPlanner struct {
	ownership.PlannerHost
	// grantsUntil is when its last grant may be sent, dialsUntil when it may last
	// open a connection for one.
	grantsUntil, dialsUntil bootclock.Time
	retired                 bool
	retireInFlight          bool
	nextRetireAt            bootclock.Time
}

// previousPlanners returns the planners that may still send grants as the term
// starts. Whoever held the seat before has lost it by now, and those before the
// last one when the last one's term was seen.
func (t *term) previousPlanners(now bootclock.Time) []*previousPlanner {
	var out []*previousPlanner
	for _, host := range t.table.PreviousPlanners {
		leaseLostBy := now
		if t.base != nil && host.Host != t.base.Planner {
			leaseLostBy = t.baseTermSeenAt
		}
		prev := &previousPlanner{PlannerHost: host, grantsUntil: leaseLostBy.Add(t.p.opts.MaxViewAge), dialsUntil: leaseLostBy.Add(maxLeaseAge)}
		if host.Host == t.p.opts.Host {
			// It is this process, whose earlier terms are over, or one before
			// it that has ended.
			prev.markStopped(now)
		}
		out = append(out, prev)
	}
	return out
}

// markStopped takes in that it sends nothing any more.
func (p *previousPlanner) markStopped(now bootclock.Time) {
	p.retired = true
	p.grantsUntil = min(p.grantsUntil, now)
	p.dialsUntil = min(p.dialsUntil, now)
}

// dueRetires returns the questions to predecessors that are due.
func (t *term) dueRetires(now bootclock.Time) []Action {
	var out []Action
	for _, prev := range t.previousGrants.planners {
		if prev.retired || prev.retireInFlight || now.Before(prev.nextRetireAt) || prev.grantsUntil.Before(now) {
			continue
		}
		prev.retireInFlight = true
		out = append(out, &Retire{Service: t.name, Host: prev.Host, Addr: prev.Addr, Term: t.number})
	}
	return out
}

// activePreviousPlanners returns the planners that may still send grants now.
func (t *term) activePreviousPlanners(now bootclock.Time) []ownership.PlannerHost {
	if t.previousGrants.grantsUntil().Before(now) {
		return nil
	}
	return t.table.PreviousPlanners
}

// RetireDone takes a Retire's result: the host that answered, and whether it
// has retired. A process that was started after the term was planned has.
func (p *Planner) RetireDone(r *Retire, host string, retired bool, now bootclock.Time) {
	t := p.services[r.Service]
	if t == nil || t.number != r.Term {
		return
	}
	for _, prev := range t.previousGrants.planners {
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

// Retire stops what this host plans of the service in terms before the given
// one, and reports whether no grant of those is under way any more.
func (p *Planner) Retire(service string, nextTerm int64, now bootclock.Time) bool {
	if t := p.services[service]; t != nil {
		if t.started && t.number >= nextTerm {
			return false // the caller is the one that was replaced
		}
		p.OnEvent(Event{Kind: TermEnded, Service: service, Table: t.table, Age: now.Sub(p.lease.renewedAt)})
		p.lease.held = false
		p.dropTerms()
	}
	t := p.pastTerms[service]
	return t == nil || t.grantsInFlight() == 0
}

func (t *term) grantsInFlight() int {
	total := 0
	for _, srv := range t.servers {
		total += srv.grantsInFlight
	}
	return total
}
