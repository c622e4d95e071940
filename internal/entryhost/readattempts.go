package entryhost

import (
	"math/rand/v2"
	"sync"
	"time"
)

// tryStream is the place of the upstreams' stream, which is tried, among those
// that followers returns.
const attemptStreamIndex = 1

// attemptDecision is what a host does that waits for the log service to serve it.
type attemptDecision int

const (
	attemptLater attemptDecision = iota
	attemptNow
	attemptSucceeded
)

// readAttempts are a host's single reads of the log service while it waits for others
// to have a young copy again. It is safe for concurrent use.
type readAttempts struct {
	mu sync.Mutex
	// inFlight is set while a read is, served once one was answered.
	inFlight, succeeded bool
	// nextAt is when the next one is made; zero before the first.
	nextAt time.Time
	// failedAt is when a read last failed, one of the readers at work too.
	failedAt time.Time
}

// next returns what to do now, in a fleet of so many hosts.
func (t *readAttempts) next(now time.Time, hosts int) attemptDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.succeeded:
		t.succeeded = false
		return attemptSucceeded
	case t.inFlight || now.Before(t.nextAt):
		return attemptLater
	}
	pace := min(time.Duration(hosts)*time.Second/fleetAttemptsPerSecond, maxAttemptInterval)
	t.nextAt = now.Add(pace/2 + rand.N(pace+1))
	t.inFlight = true
	return attemptNow
}

// finish takes a read's outcome.
func (t *readAttempts) finish(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight, t.succeeded = false, err == nil
	if err != nil {
		t.failedAt = time.Now()
	}
}

// recordFailure takes note that a reader at work failed.
func (t *readAttempts) recordFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedAt = time.Now()
}

// failedSince reports whether a read failed after the given time.
func (t *readAttempts) failedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failedAt.After(at)
}

// reset takes note that another host's copy is young again.
func (t *readAttempts) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.succeeded, t.nextAt = false, time.Time{}
}
