// Package shares divides the capacity of a scarce service among the hosts of a data
// centre. A service is scarce when its request classes (desired.Class) together ask for
// more than its upstreams can do.
//
// The host that the others follow runs the Divider. It learns the hosts' demand from
// their calls and replies with their shares. Each host enforces its shares with a Gate.
// Work is measured in seconds that an upstream of median speed works on a request,
// without queueing; capacity and shares are work per second.
package shares

import (
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

// Validity is how long a share holds after the host has received it. Hosts call about
// three times a second, so that a share outlives two lost replies.
const Validity = time.Second

// Demand is what the callers of one host asked of a class since the host's last call.
type Demand struct {
	Class desired.Class
	// Arrived counts the requests, Answered those that got an upstream's response, and
	// Latency is the sum of the upstreams' latencies.
	Arrived, Answered int
	Latency           time.Duration
	// Promised counts the refused requests whose Retry-After has not passed yet.
	Promised int
}

// Share is what a host may send of one class.
type Share struct {
	Class desired.Class
	// Work is the expected work of one request; 0 if it is not known.
	Work time.Duration
	// Scarce is set while the service is scarce. The other fields count only then.
	Scarce bool
	// PerSecond is the work that the host may start each second, Valid how long that
	// holds.
	PerSecond, Valid time.Duration
	// AdmittedFraction is the part of the class's demand, over all hosts, for which the
	// service has room.
	AdmittedFraction float64
}

// Room is what the upstreams of a service in one data centre can process.
type Room struct {
	// Slots is the sum of the upstreams' slots, Capacity the sum of slots times speed. The
	// speed is relative to an upstream of median work time, so that Capacity is the work
	// per second, in seconds, of fully used upstreams.
	Slots, Capacity float64
}
