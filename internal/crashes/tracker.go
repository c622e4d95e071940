package crashes

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// Limit is how many servers may end under a content before it is refused.
	// One and two are still likely to be chance: a server that ends takes all
	// that it runs with it, and a caller's next try may meet a second end. Each
	// server that ends leaves its keys unserved until its lease has run out,
	// some three seconds, so that more would cost every other caller.
	Limit = 3
	// Retention is how long an end counts. A content is tried again a day later:
	// by then the servers may run a version that survives it, and at worst it
	// ends Limit of them a day.
	Retention = 24 * time.Hour
	// maxFingerprints bounds the contents that are kept. Where more come, the one with
	// the fewest ends is dropped first.
	maxFingerprints = 4096
)

// Crash is the end of a server while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	// Server is the ID of the life that ended.
	Server string
	// At is when it was seen.
	At time.Time
}

// Change is an end to be told to the other hosts, or one to be forgotten.
type Change struct {
	Crash
	// Deleted is set if the end no longer counts.
	Deleted bool
}

type crashKey struct {
	fingerprint Fingerprint
	server      string
}

// Tracker is what one host knows of ends, its own and those that other hosts
// have written. It is safe for concurrent use.
type Tracker struct {
	// onRefused is told of each content that is refused from now on.
	onRefused func(Fingerprint)

	mu sync.Mutex
	// crashes are by content, then by server.
	crashes map[Fingerprint]map[string]time.Time
	// pending are this host's changes that are not written yet.
	pending  map[crashKey]Change
	pendingC chan struct{}
	// recent tells ends with a common cause.
	recent failureWindow
	// trialsAllowed reports whether this host tries refused contents, trials are when.
	trialsAllowed func() bool
	trials        map[Fingerprint]trial
}

// NewTracker returns a ledger that knows of no ends. It calls refusing, unless
// nil, for each content that is refused from now on, as this host saw or read.
func NewTracker(refusing func(Fingerprint)) *Tracker {
	if refusing == nil {
		refusing = func(Fingerprint) {}
	}
	return &Tracker{onRefused: refusing, crashes: map[Fingerprint]map[string]time.Time{}, pending: map[crashKey]Change{}, pendingC: make(chan struct{}, 1),
		trials: map[Fingerprint]trial{}}
}

// RecordCrash takes in an end that this host saw itself. It returns how many servers
// have ended under the content.
func (l *Tracker) RecordCrash(e Crash) int {
	l.mu.Lock()
	l.recent.add(e)
	ends, news := l.add(e)
	if news {
		l.enqueue(Change{Crash: e})
	}
	l.mu.Unlock()
	l.notifyIfRefused(e.Fingerprint, ends, news)
	return ends
}

// RecordBrokenSend takes note of a send that broke off while its server, as far as is known
// yet, goes on.
func (l *Tracker) RecordBrokenSend(e Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent.add(e)
}

func (l *Tracker) notifyIfRefused(c Fingerprint, ends int, news bool) {
	if news && ends == Limit {
		l.onRefused(c)
	}
}

// RecordSuccess takes note that a server ran the content and answered: what ended
// with others was beside it by chance. A page that many callers read, at the
// owner of the same keys as a request that ends its servers, was otherwise
// refused with it. It reports whether ends were forgotten.
func (l *Tracker) RecordSuccess(c Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := l.crashes[c]
	for server, at := range ends {
		l.enqueue(Change{Crash: Crash{c, server, at}, Deleted: true})
	}
	delete(l.crashes, c)
	delete(l.trials, c)
	return len(ends) > 0
}

// HasCrashes reports whether there are ends at all. While there are none, requests
// need not be looked at.
func (l *Tracker) HasCrashes() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes) > 0
}

// IsSuspect reports whether a server has ended under the content, and none has
// answered it since.
func (l *Tracker) IsSuspect(c Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes[c]) > 0
}

// RefusedFor returns for how much longer a content is refused; zero if it is not.
func (l *Tracker) RefusedFor(c Fingerprint, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := make([]time.Time, 0, len(l.crashes[c]))
	for _, at := range l.crashes[c] {
		ends = append(ends, at)
	}
	if len(ends) < Limit {
		return 0
	}
	// It is refused until the last but two of its ends no longer counts.
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return max(ends[Limit-1].Add(Retention).Sub(now), 0)
}

// RefusedFingerprints returns the contents that are refused, in order.
func (l *Tracker) RefusedFingerprints(now time.Time) []Fingerprint {
	l.mu.Lock()
	var all []Fingerprint
	for c := range l.crashes {
		all = append(all, c)
	}
	l.mu.Unlock()
	all = slices.DeleteFunc(all, func(c Fingerprint) bool { return l.RefusedFor(c, now) == 0 })
	slices.Sort(all)
	return all
}

// Counts returns how many contents servers have ended under, and how many of
// them are refused.
func (l *Tracker) Counts() (known, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ends := range l.crashes {
		if len(ends) >= Limit {
			refused++
		}
	}
	return len(l.crashes), refused
}

// CrashedServers returns those that have ended under the content, in order.
func (l *Tracker) CrashedServers(c Fingerprint) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for server := range l.crashes[c] {
		out = append(out, server)
	}
	slices.Sort(out)
	return out
}

// Apply takes in a change that was read, this host's own or another's.
func (l *Tracker) Apply(c Change) {
	l.mu.Lock()
	ends, news := 0, false
	if c.Deleted {
		l.remove(c.Fingerprint, c.Server)
	} else if !l.pending[crashKey{c.Fingerprint, c.Server}].Deleted {
		ends, news = l.add(c.Crash)
	}
	l.mu.Unlock()
	l.notifyIfRefused(c.Fingerprint, ends, news)
}

// Replace takes the given ends in place of all that were read before. What
// this host has not written yet stays.
func (l *Tracker) Replace(ends []Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.crashes)
	for _, e := range ends {
		l.add(e)
	}
	for k, c := range l.pending {
		if c.Deleted {
			l.remove(k.fingerprint, k.server)
		} else {
			l.add(c.Crash)
		}
	}
}

// Expire forgets ends that no longer count. If told is set the other hosts and
// the log service are to forget them too.
func (l *Tracker) Expire(now time.Time, told bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for content, ends := range l.crashes {
		for server, at := range ends {
			if now.Sub(at) < Retention {
				continue
			}
			l.remove(content, server)
			if told {
				l.enqueue(Change{Crash: Crash{content, server, at}, Deleted: true})
			}
		}
	}
}

// Pending returns the changes that are not written yet. Ends that have turned
// out to have a common cause are forgotten, so it is best asked once the others
// of their moment are known.
func (l *Tracker) Pending() []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Change, 0, len(l.pending))
	for k, c := range l.pending {
		if !c.Deleted && l.recent.isCorrelated(c.Crash) {
			delete(l.pending, k)
			l.remove(k.fingerprint, k.server)
			continue
		}
		out = append(out, c)
	}
	return out
}

// PendingC returns a channel that gets a value when there is something to write.
func (l *Tracker) PendingC() <-chan struct{} { return l.pendingC }

// MarkWritten takes note that the changes have been written.
func (l *Tracker) MarkWritten(changes []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		k := crashKey{c.Fingerprint, c.Server}
		if l.pending[k] == c {
			delete(l.pending, k)
		}
	}
}

// add returns how many servers have ended under the content, and whether this
// end was not known yet.
func (l *Tracker) add(e Crash) (ends int, news bool) {
	if l.crashes[e.Fingerprint] == nil {
		if len(l.crashes) >= maxFingerprints {
			l.evict(l.evictionVictim())
		}
		l.crashes[e.Fingerprint] = map[string]time.Time{}
	}
	_, known := l.crashes[e.Fingerprint][e.Server]
	l.crashes[e.Fingerprint][e.Server] = e.At
	return len(l.crashes[e.Fingerprint]), !known
}

// evictionVictim returns the content with the fewest ends, of several the one whose
// last end is the oldest.
func (l *Tracker) evictionVictim() (least Fingerprint) {
	fewest, oldest := 0, time.Time{}
	for c, ends := range l.crashes {
		last := slices.MaxFunc(slices.Collect(maps.Values(ends)), time.Time.Compare)
		if least == "" || len(ends) < fewest || (len(ends) == fewest && last.Before(oldest)) {
			least, fewest, oldest = c, len(ends), last
		}
	}
	return least
}

// evict forgets a content. What this host saw of it and has not written is not
// written; records of it stay until they expire.
func (l *Tracker) evict(c Fingerprint) {
	for server := range l.crashes[c] {
		delete(l.pending, crashKey{c, server})
	}
	delete(l.crashes, c)
	delete(l.trials, c)
}

func (l *Tracker) remove(c Fingerprint, server string) {
	delete(l.crashes[c], server)
	if len(l.crashes[c]) == 0 {
		delete(l.crashes, c)
		delete(l.trials, c)
	}
}

func (l *Tracker) enqueue(c Change) {
	l.pending[crashKey{c.Fingerprint, c.Server}] = c
	select {
	case l.pendingC <- struct{}{}:
	default: // the writer has been woken already
	}
}
