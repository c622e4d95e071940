package crashes

import "time"

const (
	// firstTrialDelay is how long after the last end under a refused content it is
	// tried again: after a common loss its servers are back by then. The pause
	// doubles with each try.
	firstTrialDelay  = 10 * time.Second
	maxTrialInterval = 2 * time.Hour
)

// trial is when a refused content is tried next, and the pause after that.
type trial struct {
	next     time.Time
	interval time.Duration
}

// AllowTrial reports whether one request of a refused content may be sent now, to see
// whether it still ends its servers: an answer to it clears the content on every
// host. Without it a content that was refused for what it had not done stayed so
// for a day, since nothing was sent any more that could have been answered. Of
// all hosts that share what they see one tries, so that a content that does end
// its servers ends a dozen more in a day.
func (l *Tracker) AllowTrial(c Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trialsAllowed == nil || !l.trialsAllowed() {
		return false
	}
	t, tried := l.trials[c]
	if !tried {
		for _, at := range l.crashes[c] {
			if due := at.Add(firstTrialDelay); due.After(t.next) {
				t.next = due
			}
		}
		t.interval = 3 * firstTrialDelay
	}
	if now.Before(t.next) {
		return false
	}
	l.trials[c] = trial{now.Add(t.interval), min(2*t.interval, maxTrialInterval)}
	return true
}

// AllowTrialsIf has this host try refused contents while allowed says so. It must be
// called before the ledger is used.
func (l *Tracker) AllowTrialsIf(allowed func() bool) { l.trialsAllowed = allowed }
