package dispatch

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/upstream"
)

// Broken describes a send that broke off, for logs.
type Broken struct {
	ID, Service, Upstream string
	// Key is -1 for services that are not keyed.
	Key   int
	Fence int64
	// Content tells whether other requests ask the same.
	Content    crashes.Content
	AtUpstream time.Duration
	Err        error
	// Ended is set if the upstream itself had ended. Ends is how many have
	// ended under this content, as far as this host knows.
	Ended bool
	Ends  int
}

// brokeOff reports whether the upstream ended the exchange: no answer came,
// and neither the caller nor the time limit had put an end to it.
func brokeOff(ctx context.Context, res *upstream.Result) bool {
	return res.Outcome == upstream.Unknown && ctx.Err() == nil && !errors.Is(res.Err, os.ErrDeadlineExceeded)
}

// askWhetherEnded bounds the question whether an upstream has ended. It is
// answered in a millisecond or two: a listener that is gone refuses at once.
// It keeps the caller waiting for its next try.
const askWhetherEnded = 100 * time.Millisecond

// noteBroken takes note of a send that broke off. Whether the upstream ended
// under it is asked at once, before the request may be sent again: answers
// break off for many reasons, and a server that has ended is back, at the same
// address, in a second or so. If somebody listens there it is left open; see
// unsure.
func (d *Dispatcher) noteBroken(ctx context.Context, q *request, u *catalogue.Upstream, took time.Duration) {
	b := &Broken{ID: q.up.ID, Service: q.service.Name, Upstream: u.ID, Key: q.key, Fence: q.lastSeen,
		Content: q.content(), AtUpstream: took, Err: q.lastErr}
	ctx, cancel := context.WithTimeout(ctx, askWhetherEnded)
	defer cancel()
	now := time.Now()
	b.Ended = d.client.Refuses(ctx, upstream.Target{ID: u.ID, Addr: u.Addr})
	if b.Ended {
		d.board.NoteEnded(u.ID, now)
		d.feedback.NoteEnded(u.ID, now)
		b.Ends = d.crashes.Saw(crashes.End{Content: b.Content, Server: u.ID, At: now})
	} else if !u.Leaving {
		e := crashes.End{Content: b.Content, Server: u.ID, At: now}
		d.crashes.Broke(e)
		d.unsure.add(e)
	}
	d.BrokeOff(b)
}

const (
	// lapses is how long after a server's end its entry may go: three missed
	// heartbeats of some 0.9 s, and the way to this host.
	lapses = 5 * time.Second
	// unsureMost bounds the breaks that are kept meanwhile. Upstreams that cut
	// answers short break off some ten a second at a host at most.
	unsureMost = 256
)

// unsure keeps the breaks of which it is not known yet whether the upstream
// ended. Where a proxy or a balancer stands before the servers it goes on to
// listen, and a server may be back at once: then the entry of the upstream's
// life shows its end, by going, or by another life's taking its place.
type unsure struct {
	mu     sync.Mutex
	breaks []crashes.End
}

func (s *unsure) add(e crashes.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.breaks) < unsureMost {
		s.breaks = append(s.breaks, e)
	}
}

// settle returns the breaks whose upstream has ended meanwhile, and drops those
// whose upstream is leaving as planned, or has gone on for long enough.
func (s *unsure) settle(ups *catalogue.Snapshot, now time.Time) (ended []crashes.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaks = slices.DeleteFunc(s.breaks, func(e crashes.End) bool {
		u := ups.ByID[e.Server]
		if u == nil || u.Unlisted {
			ended = append(ended, e)
			return true
		}
		return u.Leaving || now.Sub(e.At) > lapses
	})
	return ended
}

// noteSurvived takes note that an upstream ran the request and answered.
func (d *Dispatcher) noteSurvived(q *request) {
	if d.crashes.Any() {
		d.crashes.Survived(q.content())
	}
}

// fatal returns for how much longer requests like q are refused; zero if they
// are not. It is asked before every send, a repeat too: a request under which
// servers have ended, three at this host or others, would end the next one.
// Without it a request that is asked for all the time ended eleven owners of
// its key in 12.5 s, and 60 servers of a service that is not divided by key;
// each end leaves a range of keys unserved until the lease has run out.
func (d *Dispatcher) fatal(q *request) time.Duration {
	if !d.crashes.Any() {
		return 0
	}
	now := time.Now()
	left := d.crashes.Refused(q.content(), now)
	if left > 0 && !q.trial {
		q.trial = d.crashes.Try(q.content(), now)
	}
	if q.trial {
		return 0
	}
	return left
}

// suspectRate is how many requests of a suspect content all hosts together send a
// second. Sent as they come, several run on each server by the time it ends.
const suspectRate = 2.0

// takeSuspect reports whether a request like q may be sent now, and if not, how long
// it is until one may be. Contents under which a server has ended are sent one at a
// time until one is answered.
func (d *Dispatcher) takeSuspect(ctx context.Context, q *request) (ok bool, wait time.Duration) {
	if !d.crashes.Any() || q.trial || !d.crashes.Suspect(q.content()) {
		return true, 0
	}
	return d.limits.Take(ctx, "content "+string(q.content()), suspectRate)
}
