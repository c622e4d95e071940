package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// judge records what was sent, answered and run, and checks the rules on what callers and
// upstreams see.
type judge struct {
	start time.Time

	logMu sync.Mutex
	file  *os.File
	out   *bufio.Writer

	// mu serializes grants and the checks of them. upstreams are all that were ever started.
	mu        sync.Mutex
	upstreams []*upstream

	countMu    sync.Mutex
	violations []string
	runs       map[string]int
	counts     map[string]int
	// onRun, if set, is called for each request that runs.
	onRun func(u *upstream, r *http.Request, body []byte)
}

func newJudge(path string) (*judge, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &judge{start: time.Now(), file: f, out: bufio.NewWriter(f), runs: map[string]int{}, counts: map[string]int{}}, nil
}

// logf writes a line to the record.
func (j *judge) logf(format string, args ...any) {
	j.logMu.Lock()
	defer j.logMu.Unlock()
	_, _ = fmt.Fprintf(j.out, "%8.3f s  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...))
}

func (j *judge) close() {
	j.logMu.Lock()
	defer j.logMu.Unlock()
	_ = j.out.Flush()
	_ = j.file.Close()
}

// violate records that a rule was broken.
func (j *judge) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.logf("BROKEN %s", text)
	j.countMu.Lock()
	defer j.countMu.Unlock()
	j.violations = append(j.violations, fmt.Sprintf("%.3f s  %s", time.Since(j.start).Seconds(), text))
}

func (j *judge) count(what string) {
	j.countMu.Lock()
	defer j.countMu.Unlock()
	j.counts[what]++
}

func (j *judge) add(u *upstream) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.upstreams = append(j.upstreams, u)
}

// bothHeldLimit is how long two upstreams may hold the same keys.
const bothHeldLimit = 500 * time.Millisecond

// checkGrant checks a grant of keys that u did not hold before. j.mu must be locked.
func (j *judge) checkGrant(u *upstream, from, to int, fence int64) {
	j.logf("%s is granted %d to %d under %d", u.id, from, to, fence)
	j.count("grants of other keys")
	now := time.Now()
	for _, other := range j.upstreams {
		if other == u || other.service != u.service {
			continue
		}
		other.mu.Lock()
		up, held := other.up, false
		for _, h := range other.holds {
			held = held || (h.overlaps(from, to) && now.Before(h.until))
		}
		var atWork *run
		var left time.Duration
		for rn := range other.running {
			if rn.key < from || rn.key > to {
				continue
			}
			until := rn.holdUntil
			if until.IsZero() {
				until = untilOf(other.holds, rn.key)
			}
			if now.Before(until) {
				atWork, left = rn, until.Sub(now)
			}
		}
		otherSeen := int64(0)
		for _, h := range other.seen {
			if h.overlaps(from, to) {
				otherSeen = max(otherSeen, h.fence)
			}
		}
		other.mu.Unlock()
		if !up {
			continue
		}
		if otherSeen >= fence {
			j.violate("OWNER: %s takes keys %d to %d with epoch %d, and %s had some of them with %d", u.id, from, to, fence, other.id, otherSeen)
		}
		if atWork != nil {
			j.violate("OWNER: %s is given keys %d to %d while %s is still at work on request %s of key %d, %d ms before that one's hold would have run out",
				u.id, from, to, other.id, atWork.id, atWork.key, left.Milliseconds())
		}
		if held {
			j.logf("%s holds some of the keys %d to %d too", other.id, from, to)
			time.AfterFunc(bothHeldLimit+20*time.Millisecond, func() { j.checkBothHold(u, other, from, to) })
		}
	}
}

// checkBothHold reports two upstreams that still hold the same keys.
func (j *judge) checkBothHold(u, other *upstream, from, to int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	overlap := func(x *upstream) []hold {
		x.mu.Lock()
		defer x.mu.Unlock()
		var out []hold
		for _, h := range x.holds {
			if x.up && h.overlaps(from, to) && time.Now().Before(h.until) {
				out = append(out, h)
			}
		}
		return out
	}
	for _, a := range overlap(u) {
		for _, b := range overlap(other) {
			if lo, hi := max(a.from, b.from, from), min(a.to, b.to, to); lo <= hi {
				j.violate("OWNER: %s and %s have both held keys %d to %d for over half a second", u.id, other.id, lo, hi)
			}
		}
	}
}

// began records that a request runs.
func (j *judge) began(u *upstream, r *http.Request, body []byte) {
	id := r.Header.Get("Request-Id")
	j.logf("%s runs %s %s %s key %s", u.id, id, r.Method, r.RequestURI, r.Header.Get("Shard-Key"))
	j.countMu.Lock()
	j.runs[id]++
	n := j.runs[id]
	j.counts["runs"]++
	f := j.onRun
	j.countMu.Unlock()
	if n > 1 {
		j.violate("TWICE: request %s runs for the %d. time, at %s", id, n, u.id)
	}
	if f != nil {
		f(u, r, body)
	}
}

func (j *judge) ended(u *upstream, id string) { j.logf("%s ends the run of %s", u.id, id) }

// ran returns how often a request has run.
func (j *judge) ran(id string) int {
	j.countMu.Lock()
	defer j.countMu.Unlock()
	return j.runs[id]
}
