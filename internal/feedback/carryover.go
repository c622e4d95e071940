package feedback

import "time"

// CarryOver applies to the incarnation next what a server has reported since restartedAt, when it
// may have restarted. The reports were taken for those of its previous incarnation, old, whose
// entry had not been replaced yet. It returns the change of next, and false if there is none. It
// does not call OnChange.
func (t *Tracker) CarryOver(old, next string, restartedAt time.Time) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[old]
	if s == nil || restartedAt.IsZero() {
		return Change{}, false
	}
	n := t.stateOf(next)
	c := Change{Upstream: next, PreviousRateLimit: n.rateLimit}
	if s.rateLimitAt.After(restartedAt) && s.rateLimitAt.After(n.rateLimitAt) {
		n.rateLimit, n.rateLimitAt = s.rateLimit, s.rateLimitAt
	}
	if s.backoffAt.After(restartedAt) && s.backoffUntil.After(n.backoffUntil) {
		n.backoffUntil, n.backoffAt, n.lastBackoffEnd = s.backoffUntil, s.backoffAt, s.lastBackoffEnd
		c.Backoff = time.Until(n.backoffUntil)
	}
	if s.leavingSince.After(restartedAt) && n.leavingSince.IsZero() {
		n.leavingSince, n.leavingCarried, c.Leaving = s.leavingSince, true, true
	}
	c.RateLimit = n.rateLimit
	return c, c.isAny()
}

// carriedLeavingTTL is how long CarryOver's assumption that an upstream is leaving holds without
// a report of its own. It is sent no requests that could disprove it.
const carriedLeavingTTL = 20 * time.Second
