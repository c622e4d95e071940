package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/papayatide/papayatide/platform"
)

const (
	// settleTime is how long after a fault its effects may show.
	settleTime = 3 * time.Second
	// timeoutSlack is how long after a route's timeout a caller has its answer.
	timeoutSlack = 500 * time.Millisecond
)

// execution counts by request how often it ran, and where last.
type execution struct {
	count      int
	upstreamID string
}

func (w *Environment) executions() map[string]execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]execution{}
	for _, l := range w.incarnations {
		for id, n := range l.Runs() {
			out[id] = execution{out[id].count + n, l.ID}
		}
	}
	return out
}

// checkOutcomes returns what was promised and not kept.
func checkOutcomes(outcomes []*outcome, runs map[string]execution, in *injector) []string {
	var bad []string
	sent := map[string]bool{}
	late, due := 0, 0
	for _, o := range outcomes {
		sent[o.id] = true
		r := runs[o.id]
		for _, b := range o.violations(r) {
			bad = append(bad, fmt.Sprintf("%s: %s: %s through %s", o.began.Format(timestampFormat), b, o.id, o.host.Name))
		}
		if o.interruptedByStop(r, in) {
			bad = append(bad, fmt.Sprintf("%s: LOST: %s, passed on by %s, which was stopped as planned, has no answer: %v", o.began.Format(timestampFormat), o.id, o.host.Name, o.err))
		}
		if took := o.ended.Sub(o.began); took > routeTimeout && in.faultFree(o.host, o.began.Add(-settleTime), o.ended, "") {
			due++
			if took > routeTimeout+timeoutSlack {
				late++
			}
		}
	}
	if late >= 8 && late > due/4 {
		bad = append(bad, fmt.Sprintf("TIMEOUT: %d of %d requests had no answer %v after their timeout", late, due, timeoutSlack))
	}
	for id := range runs {
		if !sent[id] && strings.HasPrefix(id, "q-") {
			bad = append(bad, "UNASKED: "+id+" ran and nobody sent it")
		}
	}
	return bad
}

// violations returns what is wrong with one outcome.
func (o *outcome) violations(r execution) []string {
	var bad []string
	if !o.idempotent && r.count > 1 {
		bad = append(bad, fmt.Sprintf("TWICE: ran %d times", r.count))
	}
	if o.err != nil {
		return bad
	}
	if got := o.header.Get(platform.Headers.RequestID); got != o.id {
		bad = append(bad, fmt.Sprintf("MIXED: the answer bears ID %q", got))
	}
	switch o.status {
	case http.StatusOK:
		if r.count == 0 || !strings.HasSuffix(o.body, " ran "+o.id) || o.header.Get(platform.Headers.Signature) == "" {
			bad = append(bad, fmt.Sprintf("MIXED: success with body %q, ran %d times", o.body, r.count))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if !o.idempotent && r.count > 0 {
			bad = append(bad, fmt.Sprintf("REFUSED: told not run, ran at %s: %q", r.upstreamID, o.body))
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

// interruptedByStop reports whether a host that was stopping as planned passed
// the request on and broke it off, with nothing else going on.
func (o *outcome) interruptedByStop(r execution, in *injector) bool {
	stop := "stop " + o.host.Name
	if o.err == nil || o.canceled || r.count == 0 || !in.faultFree(o.host, o.began.Add(-settleTime), o.ended, stop) {
		return false
	}
	return !in.faultFree(o.host, o.began, o.ended, "")
}
