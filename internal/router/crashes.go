package router

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/internal/target"
)

// requestFingerprint identifies what a request asks, whichever request it is.
func requestFingerprint(req *target.Request) crashes.Fingerprint {
	return crashes.Request{Method: req.Method, Host: req.Service, URI: req.Key, Key: -1, Body: req.Body}.Fingerprint()
}

// refusedFor returns for how much longer requests like req are refused; zero if they
// are not. A request that had ended three targets went on to end the next owner
// of its shard, or the next life of the same: 18 in 10 s with one caller.
func (rt *Router) refusedFor(req *target.Request, now time.Time) time.Duration {
	if !rt.crashes.HasCrashes() {
		return 0
	}
	c := requestFingerprint(req)
	if left := rt.crashes.RefusedFor(c, now); left > 0 && !rt.crashes.AllowTrial(c, now) {
		return left
	}
	return 0
}

// oneEnd is the time within which ends of a target are one end: several
// requests of one content may break off with it.
const crashWindow = 100 * time.Millisecond

// recordOutcome takes note of how a target fared with a request. The manifest names
// servers, not their lives; so the time tells one end from the next.
func (rt *Router) recordOutcome(resp *target.Response, err error, req *target.Request, route routing.Route, now time.Time) {
	switch {
	case errors.Is(err, target.ErrCrashed):
		life := fmt.Sprint(route.Upstream.Name, "@", int64(now.Sub(rt.started)/crashWindow))
		rt.crashes.RecordCrash(crashes.Crash{Fingerprint: requestFingerprint(req), Server: life, At: now})
	case err == nil && completed(resp) && rt.crashes.HasCrashes():
		rt.crashes.RecordSuccess(requestFingerprint(req))
	default:
		return
	}
	// What this host saw is not shared: no other host reads it.
	rt.crashes.MarkWritten(rt.crashes.Pending())
	rt.crashes.Expire(now, false)
}

// completed reports whether the target ran the request and lived to answer.
func completed(resp *target.Response) bool {
	return resp.Header.Get(target.HeaderNotRun) == "" && resp.Status < http.StatusInternalServerError
}

// logRefusedFingerprint logs that a content is refused from now on.
func (rt *Router) logRefusedFingerprint(c crashes.Fingerprint) {
	rt.log.Warn("requests like this end their targets; they are refused", zap.Int("event", events.FingerprintCrashesTargets),
		zap.String("content", string(c)), zap.Strings("peers", rt.crashes.CrashedServers(c)))
}
