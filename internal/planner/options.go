package planner

import "time"

// Options are the planner's timings.
type Options struct {
	// Host is this host's name, PeerAddr where its peers reach it.
	Host, PeerAddr string
	// GrantTTL is how long a grant lasts. It bounds how long the keys of an
	// upstream that went silent have no owner.
	GrantTTL time.Duration
	// MaxViewAge is the longest that grants are renewed after the seat was
	// last proved. Through an outage of the log service keys stay owned
	// for ViewAge + Hold.
	MaxViewAge time.Duration
	// LeaseTTL is how long the seat outlives its holder's last proof.
	LeaseTTL time.Duration
	// Candidate hosts seek the seat always. The others, whose links and
	// processors are weak, do so only where no planner is seen for
	// patience: every host follows the planner, and one with a link of 10
	// Mbit/s made half of 91 hosts fall back to the log service.
	Candidate bool
}

const (
	// maxClockDrift covers an upstream's clock that runs 2% slow.
	maxClockDrift = 0.02
	// maxGrantDelay covers the way of a grant to its upstream.
	maxGrantDelay = 100 * time.Millisecond
	// renewalsPerTTL is how often a grant is renewed within its time, so that
	// some may be lost.
	renewalsPerTTL = 3
	// grantRetryDelay is the pause after a grant that failed.
	grantRetryDelay = 100 * time.Millisecond
	// lostAfterFraction is the part of a grant's time after which an upstream that
	// has answered none is taken for lost.
	lostAfterFraction = 0.5
	// releaseRetryDelay is the pause before a release that failed is sent again.
	releaseRetryDelay = 800 * time.Millisecond
	// minExclusion is how long an upstream that was lost gets no keys, if it
	// is still or again listed; it doubles with each loss up to shunMost.
	minExclusion = time.Second
	maxExclusion = 16 * time.Second
	// failureEventInterval is the least time between two log lines of the same kind of
	// failed order at one upstream.
	failureEventInterval = time.Second
	// relistGrace is how long an owner that answers again after a silence is
	// given to be listed again: upstreams write about every 0.9 s.
	relistGrace = time.Second
	// appendRetryDelay is the pause before an append without an answer is sent
	// again.
	appendRetryDelay = 150 * time.Millisecond
	// minRegistrationWait is how long after the first upstream was seen the first
	// division of a service's keys waits for the others to register.
	minRegistrationWait = 1200 * time.Millisecond
	// registrationQuiet is how long no further upstream must have registered for
	// that, and settleMost the longest wait: hundreds take seconds, and those
	// that came too late owned nothing until callers had overloaded the
	// others. In a fleet of 181 the first 81 got all keys.
	registrationQuiet   = 700 * time.Millisecond
	maxRegistrationWait = 4 * time.Second
	// trigger, settleAt and maxMoves are the usual limits of rebalancing; an
	// owner's load estimate rests on some fifty requests, which chance makes
	// a third too high now and then.
	highWatermark, lowWatermark = 1.35, 1.05
	maxMoves                    = 24
	// ownersPerMove bounds the moves for load of a large service, to one for
	// so many owners. Each takes a second or so, most of it work under way,
	// and a busy region of 200 keys needs 150 new owners while it lasts.
	ownersPerMove = 3
	// maxLoadMoves bounds them in services of any size, so that a plan's cost
	// does not grow with the number of owners as well.
	maxLoadMoves = 150
	// loadRecordInterval is the least pause between records of moves for load alone.
	// Each record goes to every host; at 30 a second a table of 700 ranges
	// would take a weak host's processor. A move waits 0.5 s and more for the
	// work under way on its keys anyway.
	loadRecordInterval = 150 * time.Millisecond
	// noPlannerTimeout is how long hosts that are not eager wait for a planner.
	noPlannerTimeout = 3 * time.Second
	// renewFraction and joinOther are the pauses between proofs of the seat,
	// relative to its time to live, of its holder and of the others.
	renewFraction   = 0.35
	acquireFraction = 0.7
	// stepDownAfterTTLs is how many times to live of the seat a weak planner plans
	// before it gives way; a member that does not hold the seat lapses after
	// two.
	stepDownAfterTTLs = 2.5
	// minAcquireInterval is the least pause between proofs while the planner does
	// not answer.
	minAcquireInterval = 200 * time.Millisecond
)

// maxGrantTTL is the longest that an upstream may keep keys after a grant was
// sent to it.
func (o *Options) maxGrantTTL() time.Duration {
	return time.Duration(float64(o.GrantTTL)*(1+maxClockDrift)) + maxGrantDelay
}
