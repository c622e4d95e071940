package planner

import (
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
)

// retryRetire is the pause before a planner that has not retired is asked
// again; its grants under way end within 0.3 s.
const retryRetire = 300 * time.Millisecond

// predecessor is the planner of the term before.
//
// Until it is known to have stopped, the keys of owners that do not answer
// this planner may still be granted to them: they stayed without an owner for
// ViewAge and a lease, 9.2 s, after each change of planner. A predecessor that
// was stopped or restarted, or lives, says so in a few milliseconds. One that
// is cut off or stands still does not, and is waited for.
type predecessor struct {
	host, addr string
	// earlier bounds what the planners before it may still send.
	earlier bootclock.Time
	asking  bool
	nextAsk bootclock.Time
}

// retire returns the next question to the predecessor, if it is due.
func (t *term) retire(now bootclock.Time) Action {
	b := t.before
	switch {
	case b == nil:
		return nil
	case b.host == t.p.opts.Host, t.settled(now):
		// This host's own process before this one has ended.
		t.foreign.retired(now, b.earlier)
		t.before = nil
		return nil
	case b.asking || now.Before(b.nextAsk):
		return nil
	}
	b.asking = true
	return &Retire{Service: t.name, Host: b.host, Addr: b.addr, Term: t.number}
}

// settled reports whether no earlier planner can send grants any more.
func (t *term) settled(now bootclock.Time) bool { return t.foreign.until.Before(now) }

// RetireDone takes a Retire's result: the host that answered, and whether it
// has retired. A process that was started after the term was planned has.
func (p *Planner) RetireDone(r *Retire, host string, retired bool, now bootclock.Time) {
	t := p.services[r.Service]
	if t == nil || t.before == nil || t.before.host != r.Host || t.number != r.Term {
		return
	}
	t.before.asking = false
	t.before.nextAsk = now.Add(retryRetire)
	if retired && host == r.Host {
		t.foreign.retired(now, t.before.earlier)
		t.before = nil
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
