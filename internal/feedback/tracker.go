package feedback

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// upstreamState is what this host knows of one upstream incarnation from its reports,
// from notices and from observed crashes.
type upstreamState struct {
	// rateLimit is in requests per second, 0 for none. rateLimitAt is when this or
	// another host received the newest response that set or ended the limit.
	rateLimit   float64
	rateLimitAt time.Time
	// leavingSince is when a host first received a report that the upstream is
	// leaving; zero if none did. leavingCarried is set by CarryOver.
	leavingSince   time.Time
	leavingCarried bool
	// backoffUntil is the end of this host's own backoff, requested at backoffAt. followerBackoffs
	// holds the backoffs in the notices of hosts that follow this one, by host name.
	backoffUntil     time.Time
	backoffAt        time.Time
	followerBackoffs map[string]followerBackoff
	// lastBackoffEnd is the end, past or future, of the last known backoff. A new
	// backoff of this host sets it even if a follower's ends later.
	lastBackoffEnd time.Time
	// crashedAt is when a host last observed a crash of the upstream.
	crashedAt time.Time
}

// followerBackoff is the latest backoff in a follower's notices, for itself and its
// own followers. hosts is how many of them are backing off.
type followerBackoff struct {
	hosts int
	until time.Time
}

// activeBackoffs returns how many hosts are in a backoff that the upstream requested,
// and the longest remaining time. It deletes expired follower backoffs.
func (s *upstreamState) activeBackoffs(now time.Time) (hosts int, remaining time.Duration) {
	if now.Before(s.backoffUntil) {
		hosts, remaining = 1, s.backoffUntil.Sub(now)
	}
	for follower, b := range s.followerBackoffs {
		if !now.Before(b.until) {
			delete(s.followerBackoffs, follower)
			continue
		}
		hosts, remaining = hosts+b.hosts, max(remaining, b.until.Sub(now))
	}
	return hosts, remaining
}

// hasRecentState reports whether the upstream is leaving, is throttled, or was
// throttled or crashed recently.
func (s *upstreamState) hasRecentState(now time.Time) bool {
	return !s.leavingSince.IsZero() || s.recentlyThrottled(now) || s.recentlyCrashed(now)
}

// recentlyCrashed reports whether a host observed a crash of the upstream within
// crashNoticeTTL.
func (s *upstreamState) recentlyCrashed(now time.Time) bool {
	return now.Sub(s.crashedAt) < crashNoticeTTL
}

// crashDedupWindow is how much later than the last known crash the crash in a notice
// must be to count as a new one. Hosts observe the same crash at different times, and
// message delays shift the ages in notices.
const crashDedupWindow = time.Second

// crashNoticeTTL is how long hosts include a crash in their notices. By then the log
// service is usually reachable again and lists the current upstreams.
const crashNoticeTTL = 10 * time.Second

// recentlyThrottled reports whether a rate limit or a backoff is in force or ended
// within throttleRetention.
func (s *upstreamState) recentlyThrottled(now time.Time) bool {
	return s.rateLimit > 0 || now.Sub(s.rateLimitAt) < throttleRetention || now.Sub(s.lastBackoffEnd) < throttleRetention
}

// throttleRetention is how long the end of a rate limit or a backoff is remembered.
// Without it an older notice from another host would restore the limit, and key
// placement would not know that keys may have been moved away from the upstream
// because of the throttling (Status.RecentlyThrottled).
const throttleRetention = time.Minute

// Change describes a change in the tracked state of an upstream.
type Change struct {
	Upstream string
	// From is the host whose notice brought the change; empty for a response that
	// this host received.
	From string
	// RateLimit is the new limit and PreviousRateLimit the old one, in requests per
	// second; 0 for none.
	RateLimit, PreviousRateLimit float64
	// Leaving is set if the upstream has just become known to be leaving.
	Leaving bool
	// Backoff is the backoff that the upstream requested from this host.
	Backoff time.Duration
	// CrashedAt is when another host observed a crash of the upstream; zero if the
	// notice has no crash or one that is already known.
	CrashedAt time.Time
}

// Tracker keeps the state of all upstreams. It is safe for concurrent use.
type Tracker struct {
	// OnChange is called for each change, without holding the lock. Set it before
	// the first use.
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

// Record applies the report of a response that this host received at now, to a
// request sent at sent. A response without a limit ends the current one only if its
// request was sent after the limit was last reported: the upstream may have
// responded to an earlier request before it set the limit.
func (t *Tracker) Record(id string, r Report, sent, now time.Time) {
	r.Load = Load{} // tracked by package balance
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
	case !r.RateLimitMalformed && s.rateLimit > 0 && sent.After(s.rateLimitAt):
		s.rateLimit, s.rateLimitAt = 0, now
	}
	if c.RateLimit = s.rateLimit; r.Leaving && s.leavingSince.IsZero() {
		s.leavingSince, c.Leaving = now, true
	}
	if until := now.Add(r.Backoff); r.Backoff > 0 && until.After(s.backoffUntil) {
		s.backoffUntil, s.backoffAt, s.lastBackoffEnd = until, now, until
	}
	t.mu.Unlock()
	t.notify(c)
}

func (t *Tracker) notify(c Change) {
	if c.isAny() {
		t.OnChange(c)
	}
}

// isAny reports whether anything has changed.
func (c Change) isAny() bool {
	return c.RateLimit != c.PreviousRateLimit || c.Leaving || c.Backoff > 0 || !c.CrashedAt.IsZero()
}

// RecordCrash records that this host observed a crash of the upstream at now.
func (t *Tracker) RecordCrash(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(id).crashedAt = now
}

// RateLimit returns the upstream's limit in requests per second; 0 if it has none.
func (t *Tracker) RateLimit(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		return s.rateLimit
	}
	return 0
}

// Backoff returns how much longer this host must not send requests to the upstream.
func (t *Tracker) Backoff(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		return max(s.backoffUntil.Sub(now), 0)
	}
	return 0
}

// Status is the state of an upstream that key placement takes into account.
type Status struct {
	// RateLimit is in requests per second, 0 for none. RateLimitAge is how long ago a
	// host received the newest response that set or ended the limit.
	RateLimit    float64
	RateLimitAge time.Duration
	// BackoffHosts is how many hosts, among this one and its followers, are in a
	// backoff that the upstream requested.
	BackoffHosts int
	// RecentlyThrottled is set if a rate limit or a backoff is in force or ended
	// within throttleRetention.
	RecentlyThrottled bool
}

// Status returns the upstream's status; the zero value if nothing is known of it.
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

// LeavingSince returns when a host first received a report that the upstream is
// leaving, and whether one did.
func (t *Tracker) LeavingSince(id string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		return s.leavingSince, !s.leavingSince.IsZero()
	}
	return time.Time{}, false
}

// Notice is the gossip message about one upstream that hosts exchange.
type Notice struct {
	Upstream string
	// RateLimit is as in Report. RateLimitAge is how long ago a host received the
	// newest response that set or ended the limit; negative if there never was one.
	RateLimit    float64
	RateLimitAge time.Duration
	// Leaving is set if the upstream is leaving; LeavingAge is how long ago a host
	// first received a report of that.
	Leaving    bool
	LeavingAge time.Duration
	// BackoffHosts is how many hosts are backing off, BackoffLeft the longest
	// remaining time. Hosts send both only to the host that they follow.
	BackoffHosts int
	BackoffLeft  time.Duration
	// Crashed is set if a host observed a crash of the upstream, CrashAge ago and
	// within crashNoticeTTL.
	Crashed  bool
	CrashAge time.Duration
}

// maxNotices bounds the notices in one message.
const maxNotices = 64

// Notices returns the notices to send to other hosts, sorted by upstream. If there are
// more than maxNotices it returns the newest ones, newest first.
func (t *Tracker) Notices(now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Notice
	for id, s := range t.upstreams {
		n := Notice{Upstream: id, RateLimit: s.rateLimit, RateLimitAge: -1, Leaving: !s.leavingSince.IsZero() && !s.leavingCarried, Crashed: s.recentlyCrashed(now)}
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

// newestAge returns the age of the newest item in the notice; an active backoff has
// age 0.
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

// ForFollower returns the notices that are new to a follower that has sent the
// notices in sent. It omits backoffs: the follower would send them back, and they
// would count twice.
func ForFollower(notices, sent []Notice) []Notice {
	sentByID := make(map[string]Notice, len(sent))
	for _, n := range sent {
		sentByID[n.Upstream] = n
	}
	var out []Notice
	for _, n := range notices {
		theirs, ok := sentByID[n.Upstream]
		known := ok && theirs.RateLimit == n.RateLimit && theirs.Leaving == n.Leaving && theirs.Crashed == n.Crashed
		if known || (n.RateLimitAge < 0 && !n.Leaving && !n.Crashed) {
			continue
		}
		n.BackoffHosts, n.BackoffLeft = 0, 0
		out = append(out, n)
	}
	return out
}

// Merge applies the notices received from another host. Only followers send
// backoffs.
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

// Prune deletes the state of upstreams for which keep returns false, and of those
// that are neither leaving nor were throttled or crashed recently.
func (t *Tracker) Prune(keep func(id string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.upstreams {
		if s.leavingCarried && now.Sub(s.leavingSince) > carriedLeavingTTL {
			s.leavingSince, s.leavingCarried = time.Time{}, false
		}
		if !keep(id) || !s.hasRecentState(now) {
			delete(t.upstreams, id)
		}
	}
}

// Counts returns how many upstreams have a rate limit, and how many are leaving.
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
