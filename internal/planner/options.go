package planner

import "time"

// Options configures a Planner.
type Options struct {
	// Host is this host's name, PeerAddr the address at which its peers reach it.
	Host, PeerAddr string
	// GrantTTL is how long a grant lasts. The keys of an upstream that stops
	// responding go to no other upstream for at least this long after the last
	// grant that may have reached it; the package comment lists longer waits.
	GrantTTL time.Duration
	// MaxRenewalAge is the longest time since the last lease renewal for which a
	// host acts as the planner and renews grants; see recentRenewalAge for the
	// stricter limit of other actions. During an outage of the log service keys
	// stay owned for MaxRenewalAge + GrantTTL.
	MaxRenewalAge time.Duration
	// LeaseTTL is how long the planner lease stays valid after its last renewal.
	LeaseTTL time.Duration
	// Candidate hosts always compete for the planner lease. Other hosts, with slow links
	// or processors, do so only after noPlannerTimeout without a planner. All hosts read
	// new records from the planner's host or through relays, so a slow planner delays them
	// all: with a 10 Mbit/s link, half of 91 hosts fall back to reading the log service.
	Candidate bool
}

const (
	// maxClockDrift is the fraction by which an upstream's clock may run slow.
	maxClockDrift = 0.02
	// maxGrantDelay bounds the time from sending a grant to its arrival.
	maxGrantDelay = 100 * time.Millisecond
	// renewalsPerTTL is how often a grant is renewed within its TTL; more than
	// once, because a renewal may be lost.
	renewalsPerTTL = 3
	// grantRetryDelay is the delay before a failed grant is retried.
	grantRetryDelay = 100 * time.Millisecond
	// unresponsiveAfterFraction is the fraction of the grant TTL after which an
	// upstream that has neither accepted nor fenced a grant is unresponsive.
	unresponsiveAfterFraction = 0.5
	// releaseRetryDelay is the delay before a failed release is retried.
	releaseRetryDelay = 800 * time.Millisecond
	// minExclusion is how long an upstream that was unresponsive gets no keys,
	// even if it is in the view. The time doubles with each exclusion, up to maxExclusion.
	minExclusion = time.Second
	maxExclusion = 16 * time.Second
	// failureEventInterval is the minimum interval between two events for
	// failed calls of one kind to one upstream.
	failureEventInterval = time.Second
	// relistGrace is how long an owner that responds again after a silence has
	// until its entry is in the log again. Upstreams write theirs about every 0.9 s.
	relistGrace = time.Second
	// appendRetryDelay is the delay before the next append after a conflict or
	// a missing response.
	appendRetryDelay = 150 * time.Millisecond
	// minRegistrationWait is how long after the first upstream was seen the
	// first assignment of a service's keys waits for others to register.
	minRegistrationWait = 1200 * time.Millisecond
	// registrationQuiet is how long no further upstream must have registered before
	// the first assignment, maxRegistrationWait the longest wait in total. Hundreds
	// of upstreams take seconds to register, and late ones own nothing until the
	// others are overloaded: without the wait, the first 81 of 181 would get all keys.
	registrationQuiet   = 700 * time.Millisecond
	maxRegistrationWait = 4 * time.Second
	// highWatermark and lowWatermark are multiples of an owner's fair load (see
	// ownership.Load and Limits). From an owner at or above highWatermark keys move away
	// until it is down to lowWatermark. An owner's load estimate rests on about fifty
	// requests, so chance alone sometimes makes it a third too high.
	highWatermark, lowWatermark = 1.35, 1.05
	// baseLoadMoves is the default number of concurrent load moves that are
	// allowed in a service of any size.
	baseLoadMoves = 24
	// upstreamsPerMove: in a large service, one concurrent load move is allowed per
	// this many eligible upstreams. A move takes about a second, mostly to wait for requests
	// in flight, and a hot region of 200 keys needs 150 new owners before the
	// load shifts again.
	upstreamsPerMove = 3
	// maxLoadMoves is the maximum of the number that upstreamsPerMove allows. It
	// bounds the cost of a plan.
	maxLoadMoves = 150
	// loadRecordInterval is the minimum interval between records that contain only
	// load moves. Each record goes to every host: with a table of 700 ranges, 30
	// records a second would saturate the processor of a slow host. A load move
	// waits 0.5 s or more for the requests in flight on its keys anyway.
	loadRecordInterval = 150 * time.Millisecond
	// noPlannerTimeout is how long a host that is not a candidate must see no
	// planner before it competes for the lease.
	noPlannerTimeout = 3 * time.Second
	// renewFraction and acquireFraction are the intervals between lease requests
	// of the lease holder and of other hosts, as fractions of Options.LeaseTTL.
	renewFraction   = 0.35
	acquireFraction = 0.7
	// stepDownAfterTTLs is the number of lease TTLs for which a planner that is
	// not a candidate plans before it steps down. The memberships of hosts that
	// do not hold the lease lapse after two.
	stepDownAfterTTLs = 2.5
	// minAcquireInterval is the minimum interval between lease requests while
	// the planner does not respond.
	minAcquireInterval = 200 * time.Millisecond
)

// maxHoldUp returns the longest time after the end of a process for which a grant that it sent, or
// had a helper send, may be held up on its way; see the package comment.
func (p *Planner) maxHoldUp() time.Duration {
	return time.Duration(float64(p.IdleTimeout())*(1+maxClockDrift)) + relayedGrantLifetime
}

// maxGrantValidity returns the longest time for which an upstream may keep keys
// after a grant was sent to it.
func (o *Options) maxGrantValidity() time.Duration {
	return time.Duration(float64(o.GrantTTL)*(1+maxClockDrift)) + maxGrantDelay
}
