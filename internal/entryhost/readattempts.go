package entryhost

import (
	"math/rand/v2"
	"sync"
	"time"
)

// attemptStreamIndex is the index of the upstream stream's reader, which makes
// the attempts, among the other readers that newStreamReaders returns.
const attemptStreamIndex = 1

// attemptDecision is what a host whose followed host has a stale replica does
// next.
type attemptDecision int

const (
	attemptLater     attemptDecision = iota // wait
	attemptNow                              // make one read
	attemptSucceeded                        // an attempt succeeded: start the readers
)

// readAttempts schedules a host's single reads of the log service while the
// followed host's replica is stale. It is safe for concurrent use.
type readAttempts struct {
	mu sync.Mutex
	// inFlight is set while an attempt is running, succeeded once one has
	// succeeded.
	inFlight, succeeded bool
	// nextAt is the time of the next attempt; zero before the first.
	nextAt time.Time
	// failedAt is when an attempt, or a read by a running reader, last failed.
	failedAt time.Time
}

// next returns what to do now in a fleet of the given number of hosts. On
// attemptNow the caller must call finish.
func (a *readAttempts) next(now time.Time, hosts int) attemptDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.succeeded:
		a.succeeded = false
		return attemptSucceeded
	case a.inFlight || now.Before(a.nextAt):
		return attemptLater
	}
	interval := min(time.Duration(hosts)*time.Second/fleetAttemptsPerSecond, maxAttemptInterval)
	a.nextAt = now.Add(interval/2 + rand.N(interval+1))
	a.inFlight = true
	return attemptNow
}

// finish records the result of an attempt.
func (a *readAttempts) finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight, a.succeeded = false, err == nil
	if err != nil {
		a.failedAt = time.Now()
	}
}

// recordFailure records that a running reader's read failed.
func (a *readAttempts) recordFailure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failedAt = time.Now()
}

// failedSince reports whether a read has failed after the given time.
func (a *readAttempts) failedSince(at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failedAt.After(at)
}

// reset records that the followed host's replica is recent again.
func (a *readAttempts) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.succeeded, a.nextAt = false, time.Time{}
}
