package crashes

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// RefusalThreshold is the number of crashed servers at which a fingerprint is refused.
	// One or two crashes may be chance: a crash also breaks the server's other requests, and
	// a retry of one may meet a second crash. A higher threshold costs all other callers, as
	// the keys of each crashed server are unserved for up to the grant TTL, 3 s by default.
	RefusalThreshold = 3
	// Retention is how long a crash counts. A fingerprint is allowed again a day later:
	// the servers may run a version by then that survives it; if not, it crashes at most
	// RefusalThreshold servers a day, apart from trial requests (see TakeTrial).
	Retention = 24 * time.Hour
	// lateWriteTime is for how long after a deletion the log service may carry out an earlier write.
	lateWriteTime = time.Minute
	// maxFingerprints bounds the fingerprints that are tracked. Beyond it the one with
	// the fewest crashes is evicted.
	maxFingerprints = 4096
)

// Crash is the crash of a server while it ran a request. Broken sends, after which the
// server may have crashed or not, are described by the same fields.
type Crash struct {
	Fingerprint Fingerprint
	// Server identifies the incarnation that crashed: its ID in the catalogue (see
	// catalogue.IncarnationID), or in package router, which has no such IDs, the server's
	// name and the time window of the crash. A restarted server is another incarnation,
	// and its crash counts again.
	Server string
	// At is when the crash was observed.
	At time.Time
}

// Change is a crash that is added to or deleted from the records that all hosts share.
type Change struct {
	Crash
	// Deleted is set if the crash no longer counts.
	Deleted bool
}

type crashKey struct {
	fingerprint Fingerprint
	server      string
}

// Tracker holds the crashes that one host has observed itself or read from other hosts'
// records. It is safe for concurrent use.
type Tracker struct {
	// onRefused is called for each fingerprint that becomes refused.
	onRefused func(Fingerprint)

	mu sync.Mutex
	// crashes holds the times of crashes by fingerprint, then by server.
	crashes map[Fingerprint]map[string]time.Time
	// pending holds this host's changes that are not written yet.
	pending  map[crashKey]Change
	pendingC chan struct{}
	// deletions holds when each crash was deleted last, by this host or another, for lateWriteTime.
	deletions map[crashKey]time.Time
	// recent holds crashes and broken sends, to recognise correlated failures.
	recent recentFailures
	// trialsAllowed reports whether this host sends trial requests; trials holds their
	// schedules.
	trialsAllowed func() bool
	trials        map[Fingerprint]trialSchedule
}

// NewTracker returns a tracker without crashes. RecordCrash and Apply call onRefused, unless
// nil, for each fingerprint that becomes refused by a crash; Replace does not.
func NewTracker(onRefused func(Fingerprint)) *Tracker {
	if onRefused == nil {
		onRefused = func(Fingerprint) {}
	}
	return &Tracker{onRefused: onRefused, crashes: map[Fingerprint]map[string]time.Time{}, pending: map[crashKey]Change{}, deletions: map[crashKey]time.Time{}, pendingC: make(chan struct{}, 1),
		trials: map[Fingerprint]trialSchedule{}}
}

// RecordCrash records a crash that this host observed. It returns how many servers have
// crashed while running a request with the fingerprint.
func (t *Tracker) RecordCrash(crash Crash) int {
	t.mu.Lock()
	t.recent.add(crash)
	count, isNew := t.add(crash)
	if isNew {
		t.enqueue(Change{Crash: crash})
	}
	t.mu.Unlock()
	t.notifyIfRefused(crash.Fingerprint, count, isNew)
	return count
}

// RecordBrokenSend records that the connection broke before a whole response, without a
// sign that the server crashed. It does not count as a crash, but helps to recognise
// correlated failures.
func (t *Tracker) RecordBrokenSend(broken Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.add(broken)
}

func (t *Tracker) notifyIfRefused(fp Fingerprint, count int, isNew bool) {
	if isNew && count == RefusalThreshold {
		t.onRefused(fp)
	}
}

// RecordSuccess records that a server ran a request with the fingerprint and responded,
// and deletes the fingerprint's crashes. Without it a popular, harmless request is refused
// because some server often runs it at the moment when another request crashes the server.
// RecordSuccess reports whether there were crashes.
func (t *Tracker) RecordSuccess(fp Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.crashes[fp]
	for server, at := range times {
		t.enqueue(Change{Crash: Crash{fp, server, at}, Deleted: true})
		t.deletions[crashKey{fp, server}] = time.Now()
	}
	delete(t.crashes, fp)
	delete(t.trials, fp)
	return len(times) > 0
}

// HasCrashes reports whether there are any crashes. Without them the fingerprints of
// requests need not be computed.
func (t *Tracker) HasCrashes() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.crashes) > 0
}

// IsSuspect reports whether a server has crashed while running a request with the
// fingerprint and no request with it has succeeded since.
func (t *Tracker) IsSuspect(fp Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.crashes[fp]) > 0
}

// RefusedFor returns for how much longer a fingerprint is refused; zero if it is not.
func (t *Tracker) RefusedFor(fp Fingerprint, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := make([]time.Time, 0, len(t.crashes[fp]))
	for _, at := range t.crashes[fp] {
		times = append(times, at)
	}
	if len(times) < RefusalThreshold {
		return 0
	}
	// The refusal ends when fewer than RefusalThreshold crashes are within Retention.
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return max(times[RefusalThreshold-1].Add(Retention).Sub(now), 0)
}

// RefusedFingerprints returns the refused fingerprints, sorted.
func (t *Tracker) RefusedFingerprints(now time.Time) []Fingerprint {
	t.mu.Lock()
	var all []Fingerprint
	for fp := range t.crashes {
		all = append(all, fp)
	}
	t.mu.Unlock()
	all = slices.DeleteFunc(all, func(fp Fingerprint) bool { return t.RefusedFor(fp, now) == 0 })
	slices.Sort(all)
	return all
}

// Counts returns the number of fingerprints with crashes, and how many of them are
// refused.
func (t *Tracker) Counts() (known, refused int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, times := range t.crashes {
		if len(times) >= RefusalThreshold {
			refused++
		}
	}
	return len(t.crashes), refused
}

// CrashedServers returns the servers that have crashed while running a request with the
// fingerprint, sorted.
func (t *Tracker) CrashedServers(fp Fingerprint) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for server := range t.crashes[fp] {
		out = append(out, server)
	}
	slices.Sort(out)
	return out
}

// isDeleted reports whether the crash was deleted after it was observed. Its record may have been
// written by a call without a response, which the log service has carried out after the deletion.
func (t *Tracker) isDeleted(crash Crash) bool {
	k := crashKey{crash.Fingerprint, crash.Server}
	at, ok := t.deletions[k]
	return t.pending[k].Deleted || (ok && !crash.At.After(at))
}

// Apply applies a change that was read, written by this host or another. It ignores a
// crash that was deleted after it was observed.
func (t *Tracker) Apply(c Change) {
	t.mu.Lock()
	count, isNew := 0, false
	if c.Deleted {
		t.remove(c.Fingerprint, c.Server)
		t.deletions[crashKey{c.Fingerprint, c.Server}] = time.Now()
	} else if !t.isDeleted(c.Crash) {
		count, isNew = t.add(c.Crash)
	}
	t.mu.Unlock()
	t.notifyIfRefused(c.Fingerprint, count, isNew)
}

// Replace replaces all crashes by the given ones, and applies this host's pending
// changes again.
func (t *Tracker) Replace(crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.crashes)
	for _, crash := range crashes {
		if !t.isDeleted(crash) {
			t.add(crash)
		}
	}
	for k, c := range t.pending {
		if c.Deleted {
			t.remove(k.fingerprint, k.server)
		} else {
			t.add(c.Crash)
		}
	}
}

// Merge adds the given crashes to those that are known. If rewrite is set, it enqueues the known
// ones that are not among them.
func (t *Tracker) Merge(crashes []Crash, rewrite bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	given := map[crashKey]bool{}
	for _, crash := range crashes {
		k := crashKey{crash.Fingerprint, crash.Server}
		given[k] = true
		if !t.isDeleted(crash) {
			t.add(crash)
		}
	}
	if !rewrite {
		return
	}
	for fp, times := range t.crashes {
		for server, at := range times {
			if !given[crashKey{fp, server}] {
				t.enqueue(Change{Crash: Crash{fp, server, at}})
			}
		}
	}
}

// Expire removes crashes that are older than Retention. If publish is set, it also
// enqueues their deletion from the shared records.
func (t *Tracker) Expire(now time.Time, publish bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.deletions, func(_ crashKey, at time.Time) bool { return now.Sub(at) > lateWriteTime })
	for fp, times := range t.crashes {
		for server, at := range times {
			if now.Sub(at) < Retention {
				continue
			}
			t.remove(fp, server)
			if publish {
				t.enqueue(Change{Crash: Crash{fp, server, at}, Deleted: true})
			}
		}
	}
}

// FilterPending removes the pending crashes that prove to be correlated failures, also from
// this host's state, and returns the other changes that are not written yet. It should be
// called only after the other failures of the same moment have been recorded.
func (t *Tracker) FilterPending() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Change, 0, len(t.pending))
	for k, c := range t.pending {
		if !c.Deleted && t.recent.isCorrelated(c.Crash) {
			delete(t.pending, k)
			t.remove(k.fingerprint, k.server)
			continue
		}
		out = append(out, c)
	}
	return out
}

// PendingC returns a channel that receives a value when there are changes to write.
func (t *Tracker) PendingC() <-chan struct{} { return t.pendingC }

// MarkWritten records that the changes have been written.
func (t *Tracker) MarkWritten(changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range changes {
		k := crashKey{c.Fingerprint, c.Server}
		if t.pending[k] == c {
			delete(t.pending, k)
		}
	}
}

// add adds a crash. It returns how many servers have crashed while running a request with
// the fingerprint, and whether this server is a new one of them.
func (t *Tracker) add(crash Crash) (count int, isNew bool) {
	if t.crashes[crash.Fingerprint] == nil {
		if len(t.crashes) >= maxFingerprints {
			t.evict(t.evictionVictim())
		}
		t.crashes[crash.Fingerprint] = map[string]time.Time{}
	}
	_, known := t.crashes[crash.Fingerprint][crash.Server]
	t.crashes[crash.Fingerprint][crash.Server] = crash.At
	return len(t.crashes[crash.Fingerprint]), !known
}

// evictionVictim returns the fingerprint with the fewest crashes; of several, the one
// whose last crash is the oldest.
func (t *Tracker) evictionVictim() (victim Fingerprint) {
	fewest, oldest := 0, time.Time{}
	for fp, times := range t.crashes {
		last := slices.MaxFunc(slices.Collect(maps.Values(times)), time.Time.Compare)
		if victim == "" || len(times) < fewest || (len(times) == fewest && last.Before(oldest)) {
			victim, fewest, oldest = fp, len(times), last
		}
	}
	return victim
}

// evict drops a fingerprint with its pending changes. Records of it that are already
// written stay until they expire.
func (t *Tracker) evict(fp Fingerprint) {
	for server := range t.crashes[fp] {
		delete(t.pending, crashKey{fp, server})
	}
	delete(t.crashes, fp)
	delete(t.trials, fp)
}

func (t *Tracker) remove(fp Fingerprint, server string) {
	delete(t.crashes[fp], server)
	if len(t.crashes[fp]) == 0 {
		delete(t.crashes, fp)
		delete(t.trials, fp)
	}
}

// enqueue adds a change to the pending ones and wakes the writer.
func (t *Tracker) enqueue(c Change) {
	t.pending[crashKey{c.Fingerprint, c.Server}] = c
	select {
	case t.pendingC <- struct{}{}:
	default: // a wake-up is already queued
	}
}
