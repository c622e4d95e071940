package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// shutdown ends the requests in flight when this host stops. Without it, a request at an
// upstream that does not respond, or one with a long timeout that waits for admission or an owner,
// outlives the process: its caller sees the connection close and cannot tell whether the
// request has run.
type shutdown struct {
	mu sync.Mutex
	// deadline is zero unless the host is stopping.
	deadline time.Time
	// ctx is canceled at the deadline.
	ctx    context.Context
	cancel context.CancelFunc
}

func newShutdown() *shutdown {
	ctx, cancel := context.WithCancel(context.Background())
	return &shutdown{ctx: ctx, cancel: cancel}
}

// StopBy ends every request that has no response by the given time. The refusal's status
// states that the request did not run or that its outcome is unknown.
func (d *Dispatcher) StopBy(at time.Time) {
	d.shutdown.mu.Lock()
	defer d.shutdown.mu.Unlock()
	d.shutdown.deadline = at
	time.AfterFunc(time.Until(at), d.shutdown.cancel)
}

// clampDeadline returns the earlier of requestDeadline and the host's own deadline.
func (s *shutdown) clampDeadline(requestDeadline time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.deadline.IsZero() && s.deadline.Before(requestDeadline) {
		return s.deadline
	}
	return requestDeadline
}

// begun reports whether the host is stopping.
func (s *shutdown) begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.deadline.IsZero()
}

// requestContext returns a context that ends at the deadline, when the caller disconnects,
// or when the host's requests are ended.
func (s *shutdown) requestContext(caller context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(caller, deadline)
	stop := context.AfterFunc(s.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// stopped reports whether the host's requests have been ended.
func (s *shutdown) stopped() bool { return s.ctx.Err() != nil }

// stoppingRefusal returns the refusal of a request whose turn comes after the host's requests
// have been ended. Their contexts end one after the other, so that one request may free the
// place of another whose context has not ended yet.
func (req *request) stoppingRefusal() *Refusal {
	if req.mayHaveRun {
		return refusalWithStatus(CauseStopping, http.StatusGatewayTimeout)
	}
	return notRunRefusal(CauseStopping, withJitter(retryAfterTimeout))
}
