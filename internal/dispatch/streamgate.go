package dispatch

import (
	"sync"
	"time"
)

const (
	// stallWindow and minStalls are when callers count as stalling: as many of them stopped sending a streamed
	// body within the window.
	stallWindow = 10 * time.Second
	minStalls   = 4
	// streamingShare is the part of the upstreams' slots that streamed bodies may hold while callers stall.
	streamingShare = 4
)

// streamGate bounds the bodies that are streamed at a time while callers stall. Each holds a slot of its
// upstream until its caller has sent the rest or counts as stalled, so that callers who stop sending could
// hold all slots.
type streamGate struct {
	mu       sync.Mutex
	inFlight int
	// stalls are the times of the latest stalls, as a ring; next is the index of the oldest.
	stalls [minStalls]time.Time
	next   int
}

// begin counts a streamed body. It returns false if limit are in flight while callers stall.
func (g *streamGate) begin(limit int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	oldest := g.stalls[g.next]
	if g.inFlight >= limit && !oldest.IsZero() && now.Sub(oldest) < stallWindow {
		return false
	}
	g.inFlight++
	return true
}

// end ends the counting of a streamed body, whose caller may have stalled.
func (g *streamGate) end(stalled bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if stalled {
		g.stalls[g.next] = now
		g.next = (g.next + 1) % minStalls
	}
}
