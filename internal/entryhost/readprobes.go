package entryhost

import (
	"math/rand/v2"
	"sync"
	"time"
)

// probeReaderIndex is the index of the upstreams stream's reader, which sends the
// probes, among the other readers that newStreamReaders returns.
const probeReaderIndex = 1

// probeDecision is what a host does next while the followed host's replica is
// stale.
type probeDecision int

const (
	probeLater   probeDecision = iota // wait
	probeNow                          // send one probe
	startReaders                      // a probe has succeeded: start the stream readers
)

// readProbes schedules a host's probes while the followed host's replica is
// stale: single reads that test whether the log service responds to this host. It is
// safe for concurrent use.
type readProbes struct {
	mu sync.Mutex
	// inFlight is set while a probe is in flight. succeeded is set from a
	// successful probe until next returns startReaders for it, or reset is called.
	inFlight, succeeded bool
	// nextAt is the time of the next probe; zero before the first.
	nextAt time.Time
	// failedAt is when a probe, or a read by a running stream reader, last failed.
	failedAt time.Time
}

// next returns what to do now in a fleet of the given number of hosts. On
// probeNow the caller must send a probe and call finish with its result.
func (p *readProbes) next(now time.Time, hosts int) probeDecision {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.succeeded:
		p.succeeded = false
		return startReaders
	case p.inFlight || now.Before(p.nextAt):
		return probeLater
	}
	interval := min(time.Duration(hosts)*time.Second/fleetProbesPerSecond, maxProbeInterval)
	p.nextAt = now.Add(interval/2 + rand.N(interval+1))
	p.inFlight = true
	return probeNow
}

// finish records the result of a probe.
func (p *readProbes) finish(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight, p.succeeded = false, err == nil
	if err != nil {
		p.failedAt = time.Now()
	}
}

// recordFailure records that a read by a running stream reader failed.
func (p *readProbes) recordFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt = time.Now()
}

// failedSince reports whether a probe or another read has failed after the given
// time.
func (p *readProbes) failedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedAt.After(at)
}

// reset records that the followed host's replica is recent again.
func (p *readProbes) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.succeeded, p.nextAt = false, time.Time{}
}
