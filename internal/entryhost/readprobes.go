package entryhost

import (
	"math/rand/v2"
	"sync"
	"time"
)

// attemptStreamIndex is the index of the upstream stream's reader, which makes
// the attempts, among the other readers that newStreamReaders returns.
const probeReaderIndex = 1

// probeDecision is what a host whose followed host has a stale replica does
// next.
type probeDecision int

const (
	probeLater   probeDecision = iota // wait
	probeNow                          // make one read
	startReaders                      // an attempt succeeded: start the readers
)

// readProbes schedules a host's single reads of the log service while the
// followed host's replica is stale. It is safe for concurrent use.
type readProbes struct {
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
func (a *readProbes) next(now time.Time, hosts int) probeDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.succeeded:
		a.succeeded = false
		return startReaders
	case a.inFlight || now.Before(a.nextAt):
		return probeLater
	}
	interval := min(time.Duration(hosts)*time.Second/fleetProbesPerSecond, maxProbeInterval)
	a.nextAt = now.Add(interval/2 + rand.N(interval+1))
	a.inFlight = true
	return probeNow
}

// finish records the result of an attempt.
func (a *readProbes) finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight, a.succeeded = false, err == nil
	if err != nil {
		a.failedAt = time.Now()
	}
}

// recordFailure records that a running reader's read failed.
func (a *readProbes) recordFailure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failedAt = time.Now()
}

// failedSince reports whether a read has failed after the given time.
func (a *readProbes) failedSince(at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failedAt.After(at)
}

// reset records that the followed host's replica is recent again.
func (a *readProbes) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.succeeded, a.nextAt = false, time.Time{}
}
