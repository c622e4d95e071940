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

// BrokenSend describes a send that broke off, for logs.
type BrokenSend struct {
	ID, Service, Upstream string
	// Key is -1 for services that are not keyed.
	Key          int
	FencingToken int64
	// Fingerprint tells whether other requests ask the same.
	Fingerprint  crashes.Fingerprint
	UpstreamTime time.Duration
	Err          error
	// Crashed is set if the upstream itself had ended. Ends is how many have
	// ended under this content, as far as this host knows.
	Crashed bool
	Crashes int
}

// isBrokenSend reports whether the upstream ended the exchange: no answer came,
// and neither the caller nor the time limit had put an end to it.
func isBrokenSend(ctx context.Context, res *upstream.Result) bool {
	return res.Outcome == upstream.OutcomeUnknown && ctx.Err() == nil && !errors.Is(res.Err, os.ErrDeadlineExceeded)
}

// askWhetherEnded bounds the question whether an upstream has ended. It is
// answered in a millisecond or two: a listener that is gone refuses at once.
// It keeps the caller waiting for its next try.
const crashCheckTimeout = 100 * time.Millisecond

// recordBrokenSend takes note of a send that broke off. Whether the upstream ended
// under it is asked at once, before the request may be sent again: answers
// break off for many reasons, and a server that has ended is back, at the same
// address, in a second or so. If somebody listens there it is left open; see
// unsure.
func (d *Dispatcher) recordBrokenSend(ctx context.Context, q *request, u *catalogue.Upstream, took time.Duration) {
	b := &BrokenSend{ID: q.outbound.ID, Service: q.service.Name, Upstream: u.ID, Key: q.key, FencingToken: q.lastFencingToken,
		Fingerprint: q.fingerprint(), UpstreamTime: took, Err: q.lastErr}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	now := time.Now()
	b.Crashed = d.client.PortClosed(ctx, upstream.Target{ID: u.ID, Addr: u.Addr})
	if b.Crashed {
		d.picker.RecordCrash(u.ID, now)
		d.feedback.RecordCrash(u.ID, now)
		b.Crashes = d.crashes.RecordCrash(crashes.Crash{Fingerprint: b.Fingerprint, Server: u.ID, At: now})
	} else if !u.Leaving {
		e := crashes.Crash{Fingerprint: b.Fingerprint, Server: u.ID, At: now}
		d.crashes.RecordBrokenSend(e)
		d.unresolvedSends.add(e)
	}
	d.OnBrokenSend(b)
}

const (
	// entryExpiry is how long after a server's end its entry may go: three missed
	// heartbeats of some 0.9 s, and the way to this host.
	entryExpiry = 5 * time.Second
	// maxUnresolvedSends bounds the breaks that are kept meanwhile. Upstreams that cut
	// answers short break off some ten a second at a host at most.
	maxUnresolvedSends = 256
)

// unresolvedSendList keeps the breaks of which it is not known yet whether the upstream
// ended. Where a proxy or a balancer stands before the servers it goes on to
// listen, and a server may be back at once: then the entry of the upstream's
// life shows its end, by going, or by another life's taking its place.
type unresolvedSendList struct {
	mu    sync.Mutex
	sends []crashes.Crash
}

func (s *unresolvedSendList) add(e crashes.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sends) < maxUnresolvedSends {
		s.sends = append(s.sends, e)
	}
}

// resolve returns the breaks whose upstream has ended meanwhile, and drops those
// whose upstream is leaving as planned, or has gone on for long enough.
func (s *unresolvedSendList) resolve(ups *catalogue.Snapshot, now time.Time) (ended []crashes.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends = slices.DeleteFunc(s.sends, func(e crashes.Crash) bool {
		u := ups.ByID[e.Server]
		if u == nil || u.Unlisted {
			ended = append(ended, e)
			return true
		}
		return u.Leaving || now.Sub(e.At) > entryExpiry
	})
	return ended
}

// recordSuccess takes note that an upstream ran the request and answered.
func (d *Dispatcher) recordSuccess(q *request) {
	if d.crashes.HasCrashes() {
		d.crashes.RecordSuccess(q.fingerprint())
	}
}

// refusedFor returns for how much longer requests like q are refused; zero if they
// are not. It is asked before every send, a repeat too: a request under which
// servers have ended, three at this host or others, would end the next one.
// Without it a request that is asked for all the time ended eleven owners of
// its key in 12.5 s, and 60 servers of a service that is not divided by key;
// each end leaves a range of keys unserved until the lease has run out.
func (d *Dispatcher) refusedFor(q *request) time.Duration {
	if !d.crashes.HasCrashes() {
		return 0
	}
	now := time.Now()
	left := d.crashes.RefusedFor(q.fingerprint(), now)
	if left > 0 && !q.trial {
		q.trial = d.crashes.AllowTrial(q.fingerprint(), now)
	}
	if q.trial {
		return 0
	}
	return left
}

// suspectRate is how many requests of a suspect content all hosts together send a
// second. Sent as they come, several run on each server by the time it ends.
const suspectRatePerSecond = 2.0

// allowSuspect reports whether a request like q may be sent now, and if not, how long
// it is until one may be. Contents under which a server has ended are sent one at a
// time until one is answered.
func (d *Dispatcher) allowSuspect(ctx context.Context, q *request) (ok bool, wait time.Duration) {
	if !d.crashes.HasCrashes() || q.trial || !d.crashes.IsSuspect(q.fingerprint()) {
		return true, 0
	}
	return d.rateLimiter.Take(ctx, "content "+string(q.fingerprint()), suspectRatePerSecond)
}
