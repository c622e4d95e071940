package feedback

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// upstreamState is what is known of one upstream's life.
type upstreamState struct {
	// rateLimit is in requests a second, 0 for none. limitAt is when the newest
	// answer that says so was received, by this or another host.
	rateLimit   float64
	rateLimitAt time.Time
	// leavingSince is when a host first received a report that it leaves; zero if none did.
	leavingSince time.Time
	// backoffUntil is the end of the rest that this host was asked for, others are
	// those that followers of this host reported, by follower.
	backoffUntil     time.Time
	followerBackoffs map[string]followerBackoff
	// lastBackoffEnd is when the last rest that is known of ends or ended.
	lastBackoffEnd time.Time
	// crashedAt is when a host last saw it end.
	crashedAt time.Time
}

// followerBackoff is a rest that a follower reports: its own, and of those that follow it.
type followerBackoff struct {
	hosts int
	until time.Time
}

// activeBackoffs returns how many hosts the upstream has asked for a rest that is not over,
// and how long the longest of the rests lasts.
func (s *upstreamState) activeBackoffs(now time.Time) (hosts int, left time.Duration) {
	if now.Before(s.backoffUntil) {
		hosts, left = 1, s.backoffUntil.Sub(now)
	}
	for from, o := range s.followerBackoffs {
		if !now.Before(o.until) {
			delete(s.followerBackoffs, from)
			continue
		}
		hosts, left = hosts+o.hosts, max(left, o.until.Sub(now))
	}
	return hosts, left
}

// hasInfo reports whether the state says more than that of an upstream that has
// never reported anything.
func (s *upstreamState) hasInfo(now time.Time) bool {
	return !s.leavingSince.IsZero() || s.recentlyThrottled(now) || s.recentlyCrashed(now)
}

// recentlyCrashed reports whether a host has seen the upstream end so lately that the others
// should know.
func (s *upstreamState) recentlyCrashed(now time.Time) bool {
	return now.Sub(s.crashedAt) < crashNoticeTTL
}

// sameEnd is how much later than another an end must have been seen to be one more:
// hosts see the same at different times, and ages are a little off on the way.
const crashDedupWindow = time.Second

// endedTold is for how long hosts tell each other that they saw an upstream end: the
// log service is mostly back by then, and says what is there now.
const crashNoticeTTL = 10 * time.Second

// recentlyThrottled reports whether a limit or a rest is in force or ended within endedFor.
func (s *upstreamState) recentlyThrottled(now time.Time) bool {
	return s.rateLimit > 0 || now.Sub(s.rateLimitAt) < throttleRetention || now.Sub(s.lastBackoffEnd) < throttleRetention
}

// endedFor is how long the end of a limit or a rest is remembered: older reports of
// other hosts must not bring it back, and the upstream may have lost its keys.
const throttleRetention = time.Minute

// Change describes a change of what is known of an upstream.
type Change struct {
	Upstream string
	// From is the host that received the answer; empty for this one.
	From string
	// RateLimit is the one in force, 0 for none, and Before the one until now.
	RateLimit, PreviousRateLimit float64
	// Leaving is set if the upstream is now known to leave.
	Leaving bool
	// Backoff is the rest that the upstream has asked this host for.
	Backoff time.Duration
	// CrashedAt is when another host saw the upstream end; zero if that is not new.
	CrashedAt time.Time
}

// Tracker keeps the reports of all upstreams. It is safe for concurrent use.
type Tracker struct {
	// OnChange is called, without the lock, for each change. It must be set
	// before the first use.
	OnChange func(Change)

	mu        sync.Mutex
	upstreams map[string]*upstreamState
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{OnChange: func(Change) {}, upstreams: map[string]*upstreamState{}}
}

func (t *Tracker) stateOf(id string) *upstreamState {
	s := t.upstreams[id]
	if s == nil {
		s = &upstreamState{}
		t.upstreams[id] = s
	}
	return s
}

// Record takes in the report of an answer that this host received at now to a
// request that it had sent at sent. A limit ends with the first answer without one
// to a request sent after the last answer that named it: earlier requests may have
// been answered before the limit was set.
func (t *Tracker) Record(id string, r Report, sent, now time.Time) {
	t.mu.Lock()
	if t.upstreams[id] == nil && r == (Report{}) {
		t.mu.Unlock()
		return
	}
	s := t.stateOf(id)
	c := Change{Upstream: id, PreviousRateLimit: s.rateLimit, Backoff: r.Backoff}
	switch {
	case r.RateLimit > 0:
		s.rateLimit, s.rateLimitAt = r.RateLimit, now
	case !r.LimitUnreadable && s.rateLimit > 0 && sent.After(s.rateLimitAt):
		s.rateLimit, s.rateLimitAt = 0, now
	}
	if c.RateLimit = s.rateLimit; r.Leaving && s.leavingSince.IsZero() {
		s.leavingSince, c.Leaving = now, true
	}
	if until := now.Add(r.Backoff); r.Backoff > 0 && until.After(s.backoffUntil) {
		s.backoffUntil, s.lastBackoffEnd = until, until
	}
	t.mu.Unlock()
	t.notify(c)
}

func (t *Tracker) notify(c Change) {
	if c.RateLimit != c.PreviousRateLimit || c.Leaving || c.Backoff > 0 || !c.CrashedAt.IsZero() {
		t.OnChange(c)
	}
}

// RecordCrash takes note that this host saw the upstream end at now.
func (t *Tracker) RecordCrash(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(id).crashedAt = now
}

// RateLimit returns the upstream's limit in requests a second; 0 if it has none.
func (t *Tracker) RateLimit(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		return s.rateLimit
	}
	return 0
}

// Backoff returns for how much longer the upstream wants no requests from this host.
func (t *Tracker) Backoff(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		return max(s.backoffUntil.Sub(now), 0)
	}
	return 0
}

// Status is what counts for the placing of an upstream's keys.
type Status struct {
	// RateLimit is in requests a second, 0 for none; LimitAge how long ago the newest
	// answer that says so was received by a host.
	RateLimit    float64
	RateLimitAge time.Duration
	// BackoffHosts is how many hosts, of this one and its followers, it has asked for a
	// rest that is not over.
	BackoffHosts int
	// RecentlyThrottled is set if it has, or had within the last minute, a limit or a rest.
	RecentlyThrottled bool
}

// Status returns the upstream's.
func (t *Tracker) Status(id string, now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	if s == nil {
		return Status{}
	}
	hosts, _ := s.activeBackoffs(now)
	return Status{RateLimit: s.rateLimit, RateLimitAge: now.Sub(s.rateLimitAt), BackoffHosts: hosts, RecentlyThrottled: s.recentlyThrottled(now)}
}

// LeavingSince returns when a host first received a report that the upstream leaves,
// and whether one did.
func (t *Tracker) LeavingSince(id string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		return s.leavingSince, !s.leavingSince.IsZero()
	}
	return time.Time{}, false
}

// Notice is what hosts tell each other of an upstream.
type Notice struct {
	Upstream string
	// RateLimit is as in Report, LimitAge how long ago the newest answer that says
	// so was received; negative if no answer ever named a limit.
	RateLimit    float64
	RateLimitAge time.Duration
	// Leaving is set if the upstream leaves, LeavingAge how long that is known.
	Leaving    bool
	LeavingAge time.Duration
	// BackoffHosts is how many hosts were asked for a rest, RestLeft how much of the
	// longest is left. They are sent only to the host that one follows.
	BackoffHosts int
	BackoffLeft  time.Duration
	// Crashed is set if a host saw the upstream end lately, EndedAge ago.
	Crashed  bool
	CrashAge time.Duration
}

// maxNotices bounds the notices of one message.
const maxNotices = 64

// Notices returns what other hosts should know, the newest first where there are
// more than fit in a message.
func (t *Tracker) Notices(now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Notice
	for id, s := range t.upstreams {
		n := Notice{Upstream: id, RateLimit: s.rateLimit, RateLimitAge: -1, Leaving: !s.leavingSince.IsZero(), Crashed: s.recentlyCrashed(now)}
		if n.BackoffHosts, n.BackoffLeft = s.activeBackoffs(now); s.rateLimitAt.IsZero() && !n.Leaving && n.BackoffHosts == 0 && !n.Crashed {
			continue
		}
		if n.Crashed {
			n.CrashAge = now.Sub(s.crashedAt)
		}
		if !s.rateLimitAt.IsZero() {
			n.RateLimitAge = now.Sub(s.rateLimitAt)
		}
		if n.Leaving {
			n.LeavingAge = now.Sub(s.leavingSince)
		}
		out = append(out, n)
	}
	slices.SortFunc(out, func(x, y Notice) int { return strings.Compare(x.Upstream, y.Upstream) })
	if len(out) > maxNotices {
		slices.SortStableFunc(out, func(x, y Notice) int { return cmp.Compare(x.newestAge(), y.newestAge()) })
		out = out[:maxNotices]
	}
	return out
}

// newestAge is the age of the newest thing that the notice says.
func (n Notice) newestAge() time.Duration {
	age := time.Duration(math.MaxInt64)
	if n.BackoffHosts > 0 {
		age = 0
	}
	if n.RateLimitAge >= 0 {
		age = min(age, n.RateLimitAge)
	}
	if n.Leaving {
		age = min(age, n.LeavingAge)
	}
	if n.Crashed {
		age = min(age, n.CrashAge)
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
		known := ok && its.RateLimit == n.RateLimit && its.Leaving == n.Leaving && its.Crashed == n.Crashed
		if known || (n.RateLimitAge < 0 && !n.Leaving && !n.Crashed) {
			continue
		}
		n.BackoffHosts, n.BackoffLeft = 0, 0
		out = append(out, n)
	}
	return out
}

// Merge takes in what another host knows. Rests are taken in from followers.
func (t *Tracker) Merge(from string, notices []Notice, now time.Time) {
	for _, n := range notices {
		t.notify(t.mergeNotice(from, n, now))
	}
}

func (t *Tracker) mergeNotice(from string, n Notice, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(n.Upstream)
	c := Change{Upstream: n.Upstream, From: from, PreviousRateLimit: s.rateLimit}
	if at := now.Add(-n.RateLimitAge); n.RateLimitAge >= 0 && at.After(s.rateLimitAt) {
		s.rateLimit, s.rateLimitAt = n.RateLimit, at
	}
	if c.RateLimit = s.rateLimit; n.Leaving && s.leavingSince.IsZero() {
		s.leavingSince, c.Leaving = now.Add(-n.LeavingAge), true
	}
	if at := now.Add(-n.CrashAge); n.Crashed && at.After(s.crashedAt.Add(crashDedupWindow)) {
		s.crashedAt, c.CrashedAt = at, at
	}
	if n.BackoffHosts > 0 {
		if s.followerBackoffs == nil {
			s.followerBackoffs = map[string]followerBackoff{}
		}
		until := now.Add(n.BackoffLeft)
		s.followerBackoffs[from] = followerBackoff{n.BackoffHosts, until}
		if until.After(s.lastBackoffEnd) {
			s.lastBackoffEnd = until
		}
	}
	return c
}

// Prune forgets upstreams that keep does not know, and those of which nothing is
// known any more.
func (t *Tracker) Prune(keep func(id string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.upstreams {
		if !keep(id) || !s.hasInfo(now) {
			delete(t.upstreams, id)
		}
	}
}

// Counts returns how many upstreams have a limit, and how many leave.
func (t *Tracker) Counts() (limited, leaving int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.upstreams {
		if s.rateLimit > 0 {
			limited++
		}
		if !s.leavingSince.IsZero() {
			leaving++
		}
	}
	return limited, leaving
}
