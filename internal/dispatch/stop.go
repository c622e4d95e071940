package dispatch

import (
	"context"
	"sync"
	"time"
)

// stopper ends the requests under way of a host that stops. Without it a
// request at a silent upstream, or one with a long time limit that waits for a
// turn or an owner, outlived the process: its caller saw the connection close
// and could not tell whether it had run.
type stopper struct {
	mu sync.Mutex
	at time.Time
	// ended is over from at on.
	ended context.Context
	end   context.CancelFunc
}

func newStopper() *stopper {
	ctx, cancel := context.WithCancel(context.Background())
	return &stopper{ended: ctx, end: cancel}
}

// StopBy makes every request that is not answered at the given time end then,
// truthfully: as not run, or as one whose outcome is not known.
func (d *Dispatcher) StopBy(at time.Time) {
	d.stop.mu.Lock()
	defer d.stop.mu.Unlock()
	d.stop.at = at
	time.AfterFunc(time.Until(at), d.stop.end)
}

// clampDeadline returns the earlier of the deadline and the host's end.
func (s *stopper) clampDeadline(deadline time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.at.IsZero() && s.at.Before(deadline) {
		return s.at
	}
	return deadline
}

// context returns one that ends at the deadline, when the caller leaves, or
// with the host.
func (s *stopper) context(caller context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(caller, deadline)
	unhook := context.AfterFunc(s.ended, cancel)
	return ctx, func() {
		unhook()
		cancel()
	}
}

// stopped reports whether the host's requests have been ended.
func (s *stopper) stopped() bool { return s.ended.Err() != nil }
