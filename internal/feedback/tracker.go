package feedback

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// state is what is known of one upstream's life.
type state struct {
	// limit is in requests a second, 0 for none. limitAt is when the newest
	// answer that says so was received, by this or another host.
	limit   float64
	limitAt time.Time
	// leavingAt is when a host first received a report that it leaves; zero if none did.
	leavingAt time.Time
	// restUntil is the end of the rest that this host was asked for, others are
	// those that followers of this host reported, by follower.
	restUntil time.Time
	others    map[string]othersRest
	// restOver is when the last rest that is known of ends or ended.
	restOver time.Time
	// endedAt is when a host last saw it end.
	endedAt time.Time
}

// othersRest is a rest that a follower reports: its own, and of those that follow it.
type othersRest struct {
	hosts int
	until time.Time
}

// resting returns how many hosts the upstream has asked for a rest that is not over,
// and how long the longest of the rests lasts.
func (s *state) resting(now time.Time) (hosts int, left time.Duration) {
	if now.Before(s.restUntil) {
		hosts, left = 1, s.restUntil.Sub(now)
	}
	for from, o := range s.others {
		if !now.Before(o.until) {
			delete(s.others, from)
			continue
		}
		hosts, left = hosts+o.hosts, max(left, o.until.Sub(now))
	}
	return hosts, left
}

// notable reports whether the state says more than that of an upstream that has
// never reported anything.
func (s *state) notable(now time.Time) bool {
	return !s.leavingAt.IsZero() || s.lately(now) || s.ended(now)
}

// ended reports whether a host has seen the upstream end so lately that the others
// should know.
func (s *state) ended(now time.Time) bool { return now.Sub(s.endedAt) < endedTold }

// sameEnd is how much later than another an end must have been seen to be one more:
// hosts see the same at different times, and ages are a little off on the way.
const sameEnd = time.Second

// endedTold is for how long hosts tell each other that they saw an upstream end: the
// log service is mostly back by then, and says what is there now.
const endedTold = 10 * time.Second

// lately reports whether a limit or a rest is in force or ended within endedFor.
func (s *state) lately(now time.Time) bool {
	return s.limit > 0 || now.Sub(s.limitAt) < endedFor || now.Sub(s.restOver) < endedFor
}

// endedFor is how long the end of a limit or a rest is remembered: older reports of
// other hosts must not bring it back, and the upstream may have lost its keys.
const endedFor = time.Minute

// Change describes a change of what is known of an upstream.
type Change struct {
	Upstream string
	// From is the host that received the answer; empty for this one.
	From string
	// Limit is the one in force, 0 for none, and Before the one until now.
	Limit, Before float64
	// Leaving is set if the upstream is now known to leave.
	Leaving bool
	// Rest is the rest that the upstream has asked this host for.
	Rest time.Duration
	// EndedAt is when another host saw the upstream end; zero if that is not new.
	EndedAt time.Time
}

// Tracker keeps the reports of all upstreams. It is safe for concurrent use.
type Tracker struct {
	// Changed is called, without the lock, for each change. It must be set
	// before the first use.
	Changed func(Change)

	mu sync.Mutex
	by map[string]*state
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{Changed: func(Change) {}, by: map[string]*state{}}
}

func (t *Tracker) of(id string) *state {
	s := t.by[id]
	if s == nil {
		s = &state{}
		t.by[id] = s
	}
	return s
}

// Record takes in the report of an answer that this host received at now to a
// request that it had sent at sent. A limit ends with the first answer without one
// to a request sent after the last answer that named it: earlier requests may have
// been answered before the limit was set.
func (t *Tracker) Record(id string, r Report, sent, now time.Time) {
	t.mu.Lock()
	if t.by[id] == nil && r == (Report{}) {
		t.mu.Unlock()
		return
	}
	s := t.of(id)
	c := Change{Upstream: id, Before: s.limit, Rest: r.Rest}
	switch {
	case r.Limit > 0:
		s.limit, s.limitAt = r.Limit, now
	case !r.LimitUnreadable && s.limit > 0 && sent.After(s.limitAt):
		s.limit, s.limitAt = 0, now
	}
	if c.Limit = s.limit; r.Leaving && s.leavingAt.IsZero() {
		s.leavingAt, c.Leaving = now, true
	}
	if until := now.Add(r.Rest); r.Rest > 0 && until.After(s.restUntil) {
		s.restUntil, s.restOver = until, until
	}
	t.mu.Unlock()
	t.notify(c)
}

func (t *Tracker) notify(c Change) {
	if c.Limit != c.Before || c.Leaving || c.Rest > 0 || !c.EndedAt.IsZero() {
		t.Changed(c)
	}
}

// NoteEnded takes note that this host saw the upstream end at now.
func (t *Tracker) NoteEnded(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(id).endedAt = now
}

// Limit returns the upstream's limit in requests a second; 0 if it has none.
func (t *Tracker) Limit(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.by[id]; s != nil {
		return s.limit
	}
	return 0
}

// Rest returns for how much longer the upstream wants no requests from this host.
func (t *Tracker) Rest(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.by[id]; s != nil {
		return max(s.restUntil.Sub(now), 0)
	}
	return 0
}

// Standing is what counts for the placing of an upstream's keys.
type Standing struct {
	// Limit is in requests a second, 0 for none; LimitAge how long ago the newest
	// answer that says so was received by a host.
	Limit    float64
	LimitAge time.Duration
	// Resting is how many hosts, of this one and its followers, it has asked for a
	// rest that is not over.
	Resting int
	// Lately is set if it has, or had within the last minute, a limit or a rest.
	Lately bool
}

// Standing returns the upstream's.
func (t *Tracker) Standing(id string, now time.Time) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.by[id]
	if s == nil {
		return Standing{}
	}
	hosts, _ := s.resting(now)
	return Standing{Limit: s.limit, LimitAge: now.Sub(s.limitAt), Resting: hosts, Lately: s.lately(now)}
}

// LeavingSince returns when a host first received a report that the upstream leaves,
// and whether one did.
func (t *Tracker) LeavingSince(id string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.by[id]; s != nil {
		return s.leavingAt, !s.leavingAt.IsZero()
	}
	return time.Time{}, false
}

// Notice is what hosts tell each other of an upstream.
type Notice struct {
	Upstream string
	// Limit is as in Report, LimitAge how long ago the newest answer that says
	// so was received; negative if no answer ever named a limit.
	Limit    float64
	LimitAge time.Duration
	// Leaving is set if the upstream leaves, LeavingAge how long that is known.
	Leaving    bool
	LeavingAge time.Duration
	// RestHosts is how many hosts were asked for a rest, RestLeft how much of the
	// longest is left. They are sent only to the host that one follows.
	RestHosts int
	RestLeft  time.Duration
	// Ended is set if a host saw the upstream end lately, EndedAge ago.
	Ended    bool
	EndedAge time.Duration
}

// maxNotices bounds the notices of one message.
const maxNotices = 64

// Notices returns what other hosts should know, the newest first where there are
// more than fit in a message.
func (t *Tracker) Notices(now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Notice
	for id, s := range t.by {
		n := Notice{Upstream: id, Limit: s.limit, LimitAge: -1, Leaving: !s.leavingAt.IsZero(), Ended: s.ended(now)}
		if n.RestHosts, n.RestLeft = s.resting(now); s.limitAt.IsZero() && !n.Leaving && n.RestHosts == 0 && !n.Ended {
			continue
		}
		if n.Ended {
			n.EndedAge = now.Sub(s.endedAt)
		}
		if !s.limitAt.IsZero() {
			n.LimitAge = now.Sub(s.limitAt)
		}
		if n.Leaving {
			n.LeavingAge = now.Sub(s.leavingAt)
		}
		out = append(out, n)
	}
	slices.SortFunc(out, func(x, y Notice) int { return strings.Compare(x.Upstream, y.Upstream) })
	if len(out) > maxNotices {
		slices.SortStableFunc(out, func(x, y Notice) int { return cmp.Compare(x.newest(), y.newest()) })
		out = out[:maxNotices]
	}
	return out
}

// newest is the age of the newest thing that the notice says.
func (n Notice) newest() time.Duration {
	age := time.Duration(math.MaxInt64)
	if n.RestHosts > 0 {
		age = 0
	}
	if n.LimitAge >= 0 {
		age = min(age, n.LimitAge)
	}
	if n.Leaving {
		age = min(age, n.LeavingAge)
	}
	if n.Ended {
		age = min(age, n.EndedAge)
	}
	return age
}

// ForFollower returns the notices that are new to a follower which has sent some
// itself. Rests are left out: they would come back and be counted twice.
func ForFollower(notices, sent []Notice) []Notice {
	by := make(map[string]Notice, len(sent))
	for _, n := range sent {
		by[n.Upstream] = n
	}
	var out []Notice
	for _, n := range notices {
		its, ok := by[n.Upstream]
		known := ok && its.Limit == n.Limit && its.Leaving == n.Leaving && its.Ended == n.Ended
		if known || (n.LimitAge < 0 && !n.Leaving && !n.Ended) {
			continue
		}
		n.RestHosts, n.RestLeft = 0, 0
		out = append(out, n)
	}
	return out
}

// Learn takes in what another host knows. Rests are taken in from followers.
func (t *Tracker) Learn(from string, notices []Notice, now time.Time) {
	for _, n := range notices {
		t.notify(t.learn(from, n, now))
	}
}

func (t *Tracker) learn(from string, n Notice, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(n.Upstream)
	c := Change{Upstream: n.Upstream, From: from, Before: s.limit}
	if at := now.Add(-n.LimitAge); n.LimitAge >= 0 && at.After(s.limitAt) {
		s.limit, s.limitAt = n.Limit, at
	}
	if c.Limit = s.limit; n.Leaving && s.leavingAt.IsZero() {
		s.leavingAt, c.Leaving = now.Add(-n.LeavingAge), true
	}
	if at := now.Add(-n.EndedAge); n.Ended && at.After(s.endedAt.Add(sameEnd)) {
		s.endedAt, c.EndedAt = at, at
	}
	if n.RestHosts > 0 {
		if s.others == nil {
			s.others = map[string]othersRest{}
		}
		until := now.Add(n.RestLeft)
		s.others[from] = othersRest{n.RestHosts, until}
		if until.After(s.restOver) {
			s.restOver = until
		}
	}
	return c
}

// Prune forgets upstreams that keep does not know, and those of which nothing is
// known any more.
func (t *Tracker) Prune(keep func(id string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.by {
		if !keep(id) || !s.notable(now) {
			delete(t.by, id)
		}
	}
}

// Counts returns how many upstreams have a limit, and how many leave.
func (t *Tracker) Counts() (limited, leaving int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.by {
		if s.limit > 0 {
			limited++
		}
		if !s.leavingAt.IsZero() {
			leaving++
		}
	}
	return limited, leaving
}
