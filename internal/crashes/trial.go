package crashes

import "time"

const (
	// firstTrialDelay is the time from the last crash under a refused fingerprint to its
	// first trial: servers lost to a common cause are back by then. The second trial
	// follows 3*firstTrialDelay later; the interval doubles with each further one, up
	// to maxTrialInterval.
	firstTrialDelay  = 10 * time.Second
	maxTrialInterval = 2 * time.Hour
)

// trialSchedule is the schedule of a refused fingerprint's trials: the time of the next one and
// the interval after it.
type trialSchedule struct {
	next     time.Time
	interval time.Duration
}

// AllowTrial reports whether one request with a refused fingerprint may be sent now; its
// success lifts the refusal on all hosts. Without trials a mistaken refusal lasts a day.
// Of the hosts that share crashes only one sends trials: a fingerprint that does crash
// its servers then crashes about a dozen more a day.
func (t *Tracker) AllowTrial(fp Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trialsAllowed == nil || !t.trialsAllowed() {
		return false
	}
	schedule, scheduled := t.trials[fp]
	if !scheduled {
		for _, at := range t.crashes[fp] {
			if due := at.Add(firstTrialDelay); due.After(schedule.next) {
				schedule.next = due
			}
		}
		schedule.interval = 3 * firstTrialDelay
	}
	if now.Before(schedule.next) {
		return false
	}
	t.trials[fp] = trialSchedule{now.Add(schedule.interval), min(2*schedule.interval, maxTrialInterval)}
	return true
}

// AllowTrialsIf lets this host send trial requests while allowed returns true. It must be
// called before the tracker is used.
func (t *Tracker) AllowTrialsIf(allowed func() bool) { t.trialsAllowed = allowed }
