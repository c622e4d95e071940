package crashes

import "time"

const (
	// firstTrialDelay is the time from the last crash of a refused fingerprint to its
	// first trial request: servers that crashed for a common reason are back by then. The
	// second trial follows 3*firstTrialDelay later; the interval doubles with each
	// further one, up to maxTrialInterval.
	firstTrialDelay  = 10 * time.Second
	maxTrialInterval = 2 * time.Hour
)

// trialSchedule is the time of a refused fingerprint's next trial, and the interval from
// that one to the one after it.
type trialSchedule struct {
	next     time.Time
	interval time.Duration
}

// TakeTrial reports whether one request with a refused fingerprint may be sent now and, if
// so, schedules the next trial. A trial's success lifts the refusal on all hosts; without trials a
// mistaken refusal lasts a day. Of the hosts that share crashes only one sends trials: a fatal
// request then crashes some twenty more servers on the first day and a dozen on each later one.
func (t *Tracker) TakeTrial(fp Fingerprint, now time.Time) bool {
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
