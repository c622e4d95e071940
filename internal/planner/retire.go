package planner

import (
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// retryRetire is the pause before a planner that has not retired is asked
// again; its grants under way end within 0.3 s.
const retryRetire = 300 * time.Millisecond

// predecessor is a planner of an earlier term.
//
// Until it is known to have stopped, the keys of owners that do not answer
// this planner may still be granted to them: they stayed without an owner for
// ViewAge and a lease, 9.2 s, after each change of planner. A predecessor that
// was stopped or restarted, or lives, says so in a few milliseconds. One that
// is cut off or stands still does not, and is waited for. All that may still
// send are asked, not only the last: where the seat changed hands five times in
// ten seconds, the one before the last was waited for each time.
type predecessor struct {
	ownership.Planner
	// until is when its last grant may be sent, dialsUntil when it may last
	// open a connection for one.
	until, dialsUntil bootclock.Time
	retired           bool
	asking            bool
	nextAsk           bootclock.Time
}

// predecessors returns the planners that may still send grants as the term
// starts. Whoever held the seat before has lost it by now, and those before the
// last one when the last one's term was seen.
func (t *term) predecessors(now bootclock.Time) []*predecessor {
	var out []*predecessor
	for _, p := range t.table.Earlier {
		lost := now
		if t.base != nil && p.Host != t.base.Planner {
			lost = t.baseSeenAt
		}
		b := &predecessor{Planner: p, until: lost.Add(t.p.opts.ViewAge), dialsUntil: lost.Add(freshSeat)}
		if p.Host == t.p.opts.Host {
			// It is this process, whose earlier terms are over, or one before
			// it that has ended.
			b.stopped(now)
		}
		out = append(out, b)
	}
	return out
}

// stopped takes in that it sends nothing any more.
func (b *predecessor) stopped(now bootclock.Time) {
	b.retired = true
	b.until = min(b.until, now)
	b.dialsUntil = min(b.dialsUntil, now)
}

// retire returns the questions to predecessors that are due.
func (t *term) retire(now bootclock.Time) []Action {
	var out []Action
	for _, b := range t.foreign.before {
		if b.retired || b.asking || now.Before(b.nextAsk) || b.until.Before(now) {
			continue
		}
		b.asking = true
		out = append(out, &Retire{Service: t.name, Host: b.Host, Addr: b.Addr, Term: t.number})
	}
	return out
}

// earlier returns the planners that may still send grants now.
func (t *term) earlier(now bootclock.Time) []ownership.Planner {
	if t.foreign.until().Before(now) {
		return nil
	}
	return t.table.Earlier
}

// RetireDone takes a Retire's result: the host that answered, and whether it
// has retired. A process that was started after the term was planned has.
func (p *Planner) RetireDone(r *Retire, host string, retired bool, now bootclock.Time) {
	t := p.services[r.Service]
	if t == nil || t.number != r.Term {
		return
	}
	for _, b := range t.foreign.before {
		if b.Host != r.Host {
			continue
		}
		b.asking = false
		b.nextAsk = now.Add(retryRetire)
		if retired && host == r.Host {
			b.stopped(now)
		}
	}
}

// Retired stops what this host plans of the service in terms before the given
// one, and reports whether no grant of those is under way any more.
func (p *Planner) Retired(service string, number int64, now bootclock.Time) bool {
	if t := p.services[service]; t != nil {
		if t.started && t.number >= number {
			return false // the caller is the one that was replaced
		}
		p.Note(Event{Kind: TermEnded, Service: service, Table: t.table, Age: now.Sub(p.seat.provenAt)})
		p.seat.held = false
		p.dropTerms()
	}
	t := p.past[service]
	return t == nil || t.grantsUnderWay() == 0
}

func (t *term) grantsUnderWay() int {
	n := 0
	for _, h := range t.holders {
		n += h.inFlight
	}
	return n
}
