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

// requestFingerprint returns the fingerprint of req. Requests with the same method,
// service, key and body have the same fingerprint, whatever their ID.
func requestFingerprint(req *target.Request) crashes.Fingerprint {
	// The key is a string, so it is passed as URI. crashes.Request.Key holds numeric
	// keys; -1 means that there is none.
	return crashes.Request{Method: req.Method, Host: req.Service, URI: req.Key, Key: -1, Body: req.Body}.Fingerprint()
}

// refusedFor returns how much longer requests with req's fingerprint are refused; zero
// if they are not, or if req is allowed as a trial. Without refusals, a request that
// has crashed three targets then crashes the next owner of its shard or the next
// incarnation of the same target: a single caller can cause 18 crashes in 10 s.
func (rt *Router) refusedFor(req *target.Request, now time.Time) time.Duration {
	if !rt.crashes.HasCrashes() {
		return 0
	}
	fingerprint := requestFingerprint(req)
	if left := rt.crashes.RefusedFor(fingerprint, now); left > 0 && !rt.crashes.TakeTrial(fingerprint, now) {
		return left
	}
	return 0
}

// crashWindow is the length of the windows into which the time since the router's
// start is divided. Requests with one fingerprint that fail within one window because
// their target crashed count as one crash: several may be in flight when it crashes.
const crashWindow = 100 * time.Millisecond

// recordOutcome records whether the target crashed while it ran req, or completed it.
// The manifest does not distinguish a target's incarnations, so the number of the crash
// window is used in place of the incarnation's.
func (rt *Router) recordOutcome(resp *target.Response, err error, req *target.Request, route routing.Route, now time.Time) {
	switch {
	case errors.Is(err, target.ErrCrashed):
		crashID := fmt.Sprint(route.Upstream.Name, "@", int64(now.Sub(rt.started)/crashWindow))
		rt.crashes.RecordCrash(crashes.Crash{Fingerprint: requestFingerprint(req), Server: crashID, At: now})
	case err == nil && completed(resp) && rt.crashes.HasCrashes():
		rt.crashes.RecordSuccess(requestFingerprint(req))
	default:
		return
	}
	// Hosts do not share these crashes; mark them as written so that pending changes
	// do not accumulate.
	rt.crashes.MarkWritten(rt.crashes.FilterPending())
	rt.crashes.Expire(now, false)
}

// completed reports whether the target ran the request and responded without a
// server error.
func completed(resp *target.Response) bool {
	return resp.Header.Get(target.HeaderNotRun) == "" && resp.Status < http.StatusInternalServerError
}

// logRefusedFingerprint logs that requests with this fingerprint are refused from now on.
func (rt *Router) logRefusedFingerprint(fingerprint crashes.Fingerprint) {
	rt.log.Warn("refusing requests with this fingerprint: they crashed their targets", zap.Int("event", events.FingerprintCrashesTargets),
		zap.String("content", string(fingerprint)), zap.Strings("peers", rt.crashes.CrashedServers(fingerprint)))
}
