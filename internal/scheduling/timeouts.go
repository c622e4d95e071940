package scheduling

import "time"

const (
	// timeoutBuckets divide the timeouts that callers of a route state, up to the route's
	// own. A bucket of 2% absorbs the transit time that callers may deduct.
	timeoutBuckets = 50
	// maxTimeoutCount is the number of timeouts after which all counts are halved, so that
	// the usual one follows a change of the callers.
	maxTimeoutCount = 256
	// minTimeoutCount is the number of timeouts before which none is taken for usual.
	minTimeoutCount = 10
	// minUsualShare is the share of the timeouts below which the most frequent one is not
	// taken for usual: callers then state various ones for reasons of their own. In an
	// overload, three of four requests are from returning callers.
	minUsualShare = 0.1
)

// Timeouts learns the timeout that callers of a route usually state, the most frequent one:
// new callers state the same, while those that return after a refusal state various shorter
// ones. It is not safe for concurrent use.
type Timeouts struct {
	counts [timeoutBuckets]int
	total  int
}

// Lost records the timeout that a caller states, and returns the time that it has lost: how
// much shorter the timeout is than the usual one, or 0. longest is the route's timeout.
func (t *Timeouts) Lost(stated, longest time.Duration) time.Duration {
	if stated <= 0 || longest <= 0 {
		return 0
	}
	b := min(int(int64(stated)*timeoutBuckets/int64(longest)), timeoutBuckets-1)
	usual := t.usual()
	t.counts[b]++
	if t.total++; t.total >= maxTimeoutCount {
		t.total = 0
		for i := range t.counts {
			t.counts[i] /= 2
			t.total += t.counts[i]
		}
	}
	// The neighbouring bucket still counts as the usual timeout: it may lie at a boundary.
	if b >= usual-1 {
		return 0
	}
	return longest*time.Duration(usual)/timeoutBuckets - stated
}

// usual returns the bucket with the most timeouts, the longest of several; -1 if there are
// too few, or none is frequent.
func (t *Timeouts) usual() int {
	if t.total < minTimeoutCount {
		return -1
	}
	best := 0
	for i, n := range t.counts {
		if n >= t.counts[best] {
			best = i
		}
	}
	if float64(t.counts[best]) < minUsualShare*float64(t.total) {
		return -1
	}
	return best
}
