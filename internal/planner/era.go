package planner

import (
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

const (
	// closingTimeout bounds the wait for the closing of the last planner's term.
	closingTimeout = time.Second
	// closingRetryDelay is the delay before that planner is asked again.
	closingRetryDelay = 50 * time.Millisecond
)

// closing is the end of a term because the log has returned from an older copy: one last renewal
// of each grant. See the package comment.
type closing struct {
	term *term
	// renewedAt is when the lease of the term was last renewed. handedOver is set once another
	// host was told that the term has ended: nothing may be sent for it any more.
	renewedAt  bootclock.Time
	handedOver bool
	table      *ownership.Table
	// due are the renewals that are not sent yet, inFlight counts those without a result.
	due      []*Grant
	inFlight int
	// confirmed are the ranges whose renewals were accepted.
	confirmed []ownership.Range
}

// done reports whether every renewal has a result.
func (c *closing) done() bool { return len(c.due) == 0 && c.inFlight == 0 }

// result returns the term's last table, in which the ranges without a confirmation are unproven.
func (c *closing) result() *ownership.Table { return c.table.WithUnproven(c.confirmed) }

// ObserveEra records the log's era. When it rises, the log has returned from an older copy:
// records are gone that this host has acted on, and the lease may be another host's. Its terms
// end, and it plans only once it has renewed the lease and read the stream in the new era.
func (p *Planner) ObserveEra(era int64, now bootclock.Time) {
	if era <= p.era {
		return
	}
	first := p.era == 0
	p.era, p.eraSeenAt = era, now
	if first {
		return
	}
	for name, c := range p.closings {
		delete(p.closings, name)
		if !c.handedOver && now.Sub(c.renewedAt) <= p.opts.MaxRenewalAge {
			p.closings[name] = c.term.newClosing(c.renewedAt) // the log has returned twice
		}
	}
	if p.IsPlanner(now) {
		for name, t := range p.terms {
			if t.started && !t.isSuperseded() {
				p.closings[name] = t.newClosing(p.lease.renewedAt)
			}
		}
	}
	if p.lease.held {
		p.OnEvent(Event{Kind: LeaseLost, Cause: "the log has returned from an older copy", Age: now.Sub(p.lease.renewedAt)})
	}
	p.lease.held, p.lease.nextRequestAt = false, now
	p.streamEndUncertain = true
	p.dropTerms()
}

// newClosing returns the closing of a started term whose lease was last renewed at the given
// time. Ranges of lost owners are not renewed; those that are being moved are, as no other
// upstream has been granted them.
func (t *term) newClosing(renewedAt bootclock.Time) *closing {
	c := &closing{term: t, renewedAt: renewedAt, table: t.table}
	for _, r := range t.table.Ranges {
		u := t.upstreams[r.Owner]
		if u == nil || r.Unproven || t.server(r.Owner).unresponsive || t.table.IsLost(r.Owner) {
			continue
		}
		c.due = append(c.due, &Grant{Service: t.name, Addr: u.Addr, Range: r, TTL: t.p.opts.GrantTTL, ExistingConnOnly: true, server: t.server(r.Owner), closing: c})
	}
	return c
}

// dueClosingGrants returns the last renewals of the terms that the log's return has ended.
func (p *Planner) dueClosingGrants(now bootclock.Time) []Action {
	var out []Action
	for _, c := range p.closings {
		for _, g := range c.due {
			g.DecidedAt = now
			g.server.grantsInFlight++
			g.server.grantSent = true
			c.inFlight++
			out = append(out, g)
		}
		c.due = nil
	}
	return out
}

// grantDone handles the result of a last renewal.
func (c *closing) grantDone(g *Grant, err error) {
	c.inFlight--
	if err == nil && !g.server.forPastIncarnation(g) {
		c.confirmed = append(c.confirmed, g.Range)
	}
}

// logReturnedSince reports whether the log has returned from an older copy since the term of the
// table began. Records without an era are taken for ones of the present era.
func (p *Planner) logReturnedSince(table *ownership.Table) bool {
	return table != nil && table.Era != 0 && table.Era != p.era
}

// lostGrantsUntil returns the time until which a grant of an earlier era may be valid: its planner
// renewed the lease before this host saw the present era, and no later than that.
func (p *Planner) lostGrantsUntil() bootclock.Time {
	return p.eraSeenAt.Add(p.opts.MaxRenewalAge + p.opts.maxGrantValidity())
}

// baseAfterReturn returns the table to take over from after the log's return: the closing of
// the last planner's term, or if there is none the newest known table with all ranges unproven.
// done is false while the closing is awaited; actions are then the calls to make.
func (t *term) baseAfterReturn(now bootclock.Time) (base *ownership.Table, actions []Action, done bool) {
	if t.closingUntil == 0 {
		t.closingUntil = now.Add(closingTimeout)
	}
	if c := t.p.closings[t.name]; c != nil && c.done() {
		t.closing = c.result()
	}
	switch {
	case t.closing != nil && t.closing.Term >= t.table.Term:
		return t.closing, nil, true
	case t.closing != nil || !now.Before(t.closingUntil):
		return t.table.WithUnproven(nil), nil, true
	case t.p.closings[t.name] != nil || t.closingRequest != nil || now.Before(t.nextClosingRequest):
		return nil, nil, false
	case t.table.Planner == t.p.opts.Host:
		// An earlier process of this host planned, and nobody else knows its grants.
		t.closingUntil = now
		return t.table.WithUnproven(nil), nil, true
	}
	next := t.table.TakeOver(t.p.opts.Host, t.p.opts.PeerAddr, t.p.era)
	t.closingRequest = &Retire{Service: t.name, Host: t.table.Planner, Addr: t.table.PlannerAddr, Term: next.Term}
	return nil, []Action{t.closingRequest}, false
}

// closingRequestDone handles the result of the request for the closing of the last planner's term.
func (t *term) closingRequestDone(result ownership.Retirement, now bootclock.Time) {
	asked := t.closingRequest.Host
	t.closingRequest, t.nextClosingRequest = nil, now.Add(closingRetryDelay)
	switch table := result.Closing; {
	case table != nil && table.Service == t.name:
		t.closing = table
	case result.Retired && result.Host == asked: // it has restarted, or was not the planner when the log returned
		t.closingUntil = now
	}
}
