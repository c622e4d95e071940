package dispatch

import (
	"context"
	"sync"
	"time"
)

// shutdown ends the requests under way of a host that stops. Without it a
// request at a silent upstream, or one with a long time limit that waits for a
// turn or an owner, outlived the process: its caller saw the connection close
// and could not tell whether it had run.
type shutdown struct {
	mu       sync.Mutex
	deadline time.Time
	// ctx is over from at on.
	ctx    context.Context
	cancel context.CancelFunc
}

func newShutdown() *shutdown {
	ctx, cancel := context.WithCancel(context.Background())
	return &shutdown{ctx: ctx, cancel: cancel}
}

// StopBy makes every request that is not answered at the given time end then,
// truthfully: as not run, or as one whose outcome is not known.
func (d *Dispatcher) StopBy(at time.Time) {
	d.shutdown.mu.Lock()
	defer d.shutdown.mu.Unlock()
	d.shutdown.deadline = at
	time.AfterFunc(time.Until(at), d.shutdown.cancel)
}

// clampDeadline returns the earlier of the deadline and the host's end.
func (s *shutdown) clampDeadline(deadline time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.deadline.IsZero() && s.deadline.Before(deadline) {
		return s.deadline
	}
	return deadline
}

// requestContext returns one that ends at the deadline, when the caller leaves, or
// with the host.
func (s *shutdown) requestContext(caller context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(caller, deadline)
	unhook := context.AfterFunc(s.ctx, cancel)
	return ctx, func() {
		unhook()
		cancel()
	}
}

// stopped reports whether the host's requests have been ended.
func (s *shutdown) stopped() bool { return s.ctx.Err() != nil }
