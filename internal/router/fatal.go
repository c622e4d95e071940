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

// content identifies what a request asks, whichever request it is.
func content(req *target.Request) crashes.Fingerprint {
	return crashes.Request{Method: req.Method, Host: req.Service, URI: req.Key, Key: -1, Body: req.Body}.Fingerprint()
}

// fatal returns for how much longer requests like req are refused; zero if they
// are not. A request that had ended three targets went on to end the next owner
// of its shard, or the next life of the same: 18 in 10 s with one caller.
func (rt *Router) fatal(req *target.Request, now time.Time) time.Duration {
	if !rt.crashes.HasCrashes() {
		return 0
	}
	c := content(req)
	if left := rt.crashes.RefusedFor(c, now); left > 0 && !rt.crashes.AllowTrial(c, now) {
		return left
	}
	return 0
}

// oneEnd is the time within which ends of a target are one end: several
// requests of one content may break off with it.
const oneEnd = 100 * time.Millisecond

// noteEnd takes note of how a target fared with a request. The manifest names
// servers, not their lives; so the time tells one end from the next.
func (rt *Router) noteEnd(resp *target.Response, err error, req *target.Request, route routing.Route, now time.Time) {
	switch {
	case errors.Is(err, target.ErrCrashed):
		life := fmt.Sprint(route.Upstream.Name, "@", int64(now.Sub(rt.started)/oneEnd))
		rt.crashes.RecordCrash(crashes.Crash{Fingerprint: content(req), Server: life, At: now})
	case err == nil && ran(resp) && rt.crashes.HasCrashes():
		rt.crashes.RecordSuccess(content(req))
	default:
		return
	}
	// What this host saw is not shared: no other host reads it.
	rt.crashes.MarkWritten(rt.crashes.Pending())
	rt.crashes.Expire(now, false)
}

// ran reports whether the target ran the request and lived to answer.
func ran(resp *target.Response) bool {
	return resp.Header.Get(target.HeaderNotRun) == "" && resp.Status < http.StatusInternalServerError
}

// refusing logs that a content is refused from now on.
func (rt *Router) refusing(c crashes.Fingerprint) {
	rt.log.Warn("requests like this end their targets; they are refused", zap.Int("event", events.FingerprintCrashesTargets),
		zap.String("content", string(c)), zap.Strings("peers", rt.crashes.CrashedServers(c)))
}
