package crashes

import "time"

const (
	// correlationWindow is the largest distance in time between failures that count as
	// one event.
	correlationWindow = time.Second
	// minCorrelatedServers is the minimum number of servers with failures within
	// correlationWindow for these to count as correlated. Independent broken sends affect
	// fewer servers a second.
	minCorrelatedServers = 4
	// maxFailures bounds the failures that are kept. A network partition of a data centre
	// breaks some hundreds of sends at one host.
	maxFailures = 2048
	// failureRetention is how long failures are kept. Some crashes are detected only when
	// the server's entry in the log service expires, some seconds later; they must still
	// be compared with the other failures of their moment.
	failureRetention = 10 * time.Second
)

// recentFailures holds recent crashes and broken sends, to recognise correlated failures.
// The package comment explains why they do not count.
type recentFailures struct{ failures []Crash }

// add appends a failure and drops those that are too old or too many.
func (r *recentFailures) add(failure Crash) {
	for len(r.failures) > 0 && (len(r.failures) >= maxFailures || failure.At.Sub(r.failures[0].At) > failureRetention) {
		r.failures = r.failures[1:]
	}
	r.failures = append(r.failures, failure)
}

// isCorrelated reports whether the crash is one of many failures with a common cause:
// failures within correlationWindow affect at least minCorrelatedServers servers, and no
// more than half of these had a failure with the crash's fingerprint.
func (r *recentFailures) isCorrelated(crash Crash) bool {
	servers := map[string]bool{}
	for _, failure := range r.failures {
		if distance := failure.At.Sub(crash.At); distance <= correlationWindow && distance >= -correlationWindow {
			servers[failure.Server] = servers[failure.Server] || failure.Fingerprint == crash.Fingerprint
		}
	}
	matching := 0
	for _, sameFingerprint := range servers {
		if sameFingerprint {
			matching++
		}
	}
	return len(servers) >= minCorrelatedServers && 2*matching <= len(servers)
}
