package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/papayatide/papayatide/platform"
)

const (
	// settleTime is how long the effects of a fault may last after its end.
	settleTime = 3 * time.Second
	// timeoutSlack is how long after the request timeout a response may arrive.
	timeoutSlack = 500 * time.Millisecond
)

// requestRuns is how often one request ran, and the ID of the upstream that ran it;
// if several incarnations ran it, of the one that started last.
type requestRuns struct {
	count      int
	upstreamID string
}

// runsByRequest returns the runs of every request that ran, by request ID.
func (env *Environment) runsByRequest() map[string]requestRuns {
	env.mu.Lock()
	defer env.mu.Unlock()
	out := map[string]requestRuns{}
	for _, inc := range env.incarnations {
		for id, n := range inc.Runs() {
			out[id] = requestRuns{out[id].count + n, inc.ID}
		}
	}
	return out
}

// hostsByRequest returns the host that each request was sent to, by request ID.
func hostsByRequest(outcomes []*outcome) map[string]*Host {
	out := make(map[string]*Host, len(outcomes))
	for _, o := range outcomes {
		out[o.id] = o.host
	}
	return out
}

// checkOutcomes returns the violations that single outcomes show, late responses and
// requests that ran without being sent.
func checkOutcomes(outcomes []*outcome, runs map[string]requestRuns, in *injector) []string {
	var bad []string
	sent := map[string]bool{}
	// slow counts the requests that took longer than the timeout without a fault
	// nearby, late those of them that took over timeoutSlack longer.
	late, slow := 0, 0
	for _, o := range outcomes {
		sent[o.id] = true
		r := runs[o.id]
		for _, b := range o.violations(r) {
			bad = append(bad, fmt.Sprintf("%s: %s: %s through %s", o.began.Format(timestampFormat), b, o.id, o.host.Name))
		}
		if o.interruptedByStop(r, in) {
			bad = append(bad, fmt.Sprintf("%s: LOST: %s, forwarded by %s, which was shutting down gracefully, has no response: %v", o.began.Format(timestampFormat), o.id, o.host.Name, o.err))
		}
		if took := o.ended.Sub(o.began); !o.delayed && took > routeTimeout && in.faultFree(o.host, o.began.Add(-settleTime), o.ended, "") {
			slow++
			if took > routeTimeout+timeoutSlack {
				late++
			}
		}
	}
	if late >= 8 && late > slow/4 {
		bad = append(bad, fmt.Sprintf("TIMEOUT: %d of %d requests that exceeded the timeout without a fault nearby exceeded it by over %v", late, slow, timeoutSlack))
	}
	for id := range runs {
		if !sent[id] && strings.HasPrefix(id, "q-") {
			bad = append(bad, "UNASKED: "+id+" ran, but no caller sent it")
		}
	}
	return bad
}

// violations returns the guarantees that the outcome of a request violates, given
// how often it ran.
func (o *outcome) violations(r requestRuns) []string {
	var bad []string
	if !o.idempotent && r.count > 1 {
		bad = append(bad, fmt.Sprintf("TWICE: ran %d times", r.count))
	}
	if o.followsClose && r.count > 0 {
		bad = append(bad, fmt.Sprintf("UNASKED: ran at %s, although an earlier response closed the connection", r.upstreamID))
	}
	if o.err != nil {
		return bad
	}
	if got := o.header.Get(platform.Headers.RequestID); got != o.id {
		bad = append(bad, fmt.Sprintf("MIXED: the response has request ID %q", got))
	}
	switch o.status {
	case http.StatusOK:
		if r.count == 0 || !strings.HasSuffix(o.body, o.ranSuffix()) || o.header.Get(platform.Headers.Signature) == "" {
			bad = append(bad, fmt.Sprintf("MIXED: success with body %q, ran %d times", o.body, r.count))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if !o.idempotent && r.count > 0 {
			bad = append(bad, fmt.Sprintf("REFUSED: refused, but ran at %s: %q", r.upstreamID, o.body))
		}
		if o.header.Get("Retry-After") == "" {
			bad = append(bad, "refused without Retry-After")
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		bad = append(bad, fmt.Sprintf("DENIED: status %d, body %q", o.status, o.body))
	}
	return bad
}

// ranSuffix is how the body of a successful response ends.
func (o *outcome) ranSuffix() string { return " ran " + o.id }

// interruptedByStop reports whether the host forwarded the request and interrupted it by
// a graceful shutdown, with no other fault nearby.
func (o *outcome) interruptedByStop(r requestRuns, in *injector) bool {
	stop := "stop " + o.host.Name
	if o.err == nil || o.responseOptional || r.count == 0 || !in.faultFree(o.host, o.began.Add(-settleTime), o.ended, stop) {
		return false
	}
	return !in.faultFree(o.host, o.began, o.ended, "")
}
