package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/papayatide/papayatide/platform"
)

const (
	// settleSpan is how long after a fault its effects may show.
	settleSpan = 3 * time.Second
	// lateBy is how long after a route's timeout a caller has its answer.
	lateBy = 500 * time.Millisecond
)

// ran counts by request how often it ran, and where last.
type ran struct {
	times int
	at    string
}

func (w *Environment) runs() map[string]ran {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]ran{}
	for _, l := range w.all {
		for id, n := range l.Runs() {
			out[id] = ran{out[id].times + n, l.ID}
		}
	}
	return out
}

// check returns what was promised and not kept.
func check(outcomes []*outcome, runs map[string]ran, in *injector) []string {
	var bad []string
	sent := map[string]bool{}
	late, due := 0, 0
	for _, o := range outcomes {
		sent[o.id] = true
		r := runs[o.id]
		for _, b := range o.breaches(r) {
			bad = append(bad, fmt.Sprintf("%s: %s: %s through %s", o.began.Format(stamp), b, o.id, o.host.Name))
		}
		if o.brokenOffByStop(r, in) {
			bad = append(bad, fmt.Sprintf("%s: LOST: %s, passed on by %s, which was stopped as planned, has no answer: %v", o.began.Format(stamp), o.id, o.host.Name, o.err))
		}
		if took := o.ended.Sub(o.began); took > routeTimeout && in.calm(o.host, o.began.Add(-settleSpan), o.ended, "") {
			due++
			if took > routeTimeout+lateBy {
				late++
			}
		}
	}
	if late >= 8 && late > due/4 {
		bad = append(bad, fmt.Sprintf("TIMEOUT: %d of %d requests had no answer %v after their timeout", late, due, lateBy))
	}
	for id := range runs {
		if !sent[id] && strings.HasPrefix(id, "q-") {
			bad = append(bad, "UNASKED: "+id+" ran and nobody sent it")
		}
	}
	return bad
}

// breaches returns what is wrong with one outcome.
func (o *outcome) breaches(r ran) []string {
	var bad []string
	if !o.idempotent && r.times > 1 {
		bad = append(bad, fmt.Sprintf("TWICE: ran %d times", r.times))
	}
	if o.err != nil {
		return bad
	}
	if got := o.header.Get(platform.Headers.RequestID); got != o.id {
		bad = append(bad, fmt.Sprintf("MIXED: the answer bears ID %q", got))
	}
	switch o.status {
	case http.StatusOK:
		if r.times == 0 || !strings.HasSuffix(o.body, " ran "+o.id) || o.header.Get(platform.Headers.Signature) == "" {
			bad = append(bad, fmt.Sprintf("MIXED: success with body %q, ran %d times", o.body, r.times))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if !o.idempotent && r.times > 0 {
			bad = append(bad, fmt.Sprintf("REFUSED: told not run, ran at %s: %q", r.at, o.body))
		}
		if o.header.Get("Retry-After") == "" {
			bad = append(bad, "refused without a time to come back")
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		bad = append(bad, fmt.Sprintf("DENIED: status %d, body %q", o.status, o.body))
	}
	return bad
}

// brokenOffByStop reports whether a host that was stopping as planned passed
// the request on and broke it off, with nothing else going on.
func (o *outcome) brokenOffByStop(r ran, in *injector) bool {
	stop := "stop " + o.host.Name
	if o.err == nil || o.left || r.times == 0 || !in.calm(o.host, o.began.Add(-settleSpan), o.ended, stop) {
		return false
	}
	return !in.calm(o.host, o.began, o.ended, "")
}
