package crashes

import "time"

const (
	// correlationWindow is how far apart breaks may lie that are taken for one event.
	correlationWindow = time.Second
	// minCorrelatedServers is from how many servers on breaks at one moment make a crowd.
	// Answers that are lost by chance break off at fewer servers a second.
	minCorrelatedServers = 4
	// maxFailures bounds the breaks that are remembered; a cut of a data centre
	// breaks off some hundreds at a host.
	maxFailures = 2048
	// failureRetention is how long they are remembered: until the entries of servers
	// that ended with them have gone.
	failureRetention = 10 * time.Second
)

// failureWindow remembers at which servers sends broke off, and under which content.
//
// A cut, the loss of a data centre or a release that ends everything breaks off
// what many servers are doing at one moment. Each of their ends counted against
// what it was doing: a page that all callers read was refused for a day after
// three of them, and a data centre's cut cost some thousands of calls of the log
// service to write and read what told nothing. A request that ends its servers
// ends them one by one, while those without it live.
type failureWindow struct{ failures []Crash }

// add takes note of a break.
func (c *failureWindow) add(e Crash) {
	for len(c.failures) > 0 && (len(c.failures) >= maxFailures || e.At.Sub(c.failures[0].At) > failureRetention) {
		c.failures = c.failures[1:]
	}
	c.failures = append(c.failures, e)
}

// isCorrelated reports whether the end has a cause that it shares with others: at
// its moment sends broke off at many servers, at most of them without one of its
// content.
func (c *failureWindow) isCorrelated(e Crash) bool {
	with := map[string]bool{}
	for _, b := range c.failures {
		if apart := b.At.Sub(e.At); apart <= correlationWindow && apart >= -correlationWindow {
			with[b.Server] = with[b.Server] || b.Fingerprint == e.Fingerprint
		}
	}
	under := 0
	for _, same := range with {
		if same {
			under++
		}
	}
	return len(with) >= minCorrelatedServers && 2*under <= len(with)
}
