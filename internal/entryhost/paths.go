package entryhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/reachability"
	"github.com/papayatide/papayatide/internal/upstream"
)

var (
	relayedGrants    = metrics.NewCounter(`papayatide_grants_relayed_total`)
	relayedForOthers = metrics.NewCounter(`papayatide_grants_sent_for_planner_total`)
)

// clockDriftAllowance is how far the clocks of two hosts may drift apart within the age of a
// fleet.Host.
const clockDriftAllowance = 30 * time.Millisecond

// helperList holds the helpers of this host, by peer address.
type helperList struct{ addrs atomic.Pointer[[]string] }

func (l *helperList) get() []string {
	if addrs := l.addrs.Load(); addrs != nil {
		return *addrs
	}
	return nil
}

// setHelpers replaces this host's helpers.
func (h *host) setHelpers(addrs []string) {
	h.helpers.addrs.Store(&addrs)
	h.dispatch.SetHelpers(addrs)
}

// useOwnFollowers makes hosts that follow this one its helpers, while it follows none itself.
func (h *host) useOwnFollowers() {
	self := h.self()
	self.CutOff = true // a host is not its own helper
	h.setHelpers(h.fleet.Helpers(self, self, nil, time.Now()))
}

// helpersFor returns the helpers to tell a follower.
func (h *host) helpersFor(caller fleet.Host) []string {
	return h.fleet.Helpers(caller, h.self(), h.helpers.get(), time.Now())
}

// onPathChange handles the loss of this host's paths to all upstreams, or its end.
func (h *host) onPathChange(c reachability.PathChange) {
	h.dispatch.OnPathChange(c)
	if !c.CutOff {
		h.zl.Info("upstreams can be reached again", zap.Int("event", events.PathsRestored), zap.Duration("lasted", c.Lasted))
		return
	}
	silentFor := time.Duration(0)
	if !c.HeardAt.IsZero() {
		silentFor = c.At.Sub(c.HeardAt)
	}
	h.zl.Warn("this host reaches no upstream; other hosts serve its requests", zap.Int("event", events.PathsLost), zap.Int("probed", c.Probed),
		zap.Int("refused", c.Refused), zap.Duration("silent_for", silentFor), zap.Strings("helpers", h.helpers.get()))
}

// peerHandler returns the handler of the listener for other hosts: their calls, and the requests
// that they pass on.
func (h *host) peerHandler(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !dispatch.IsForwarded(r) {
			calls.ServeHTTP(w, r)
			return
		}
		h.inFlight.Add(1)
		h.forwarded.Add(1)
		defer h.inFlight.Add(-1)
		defer h.forwarded.Add(-1)
		h.dispatch.ServeForwarded(w, r)
	})
}

// forwardedPollInterval is how often a stopping host looks whether requests of other hosts remain.
const forwardedPollInterval = 10 * time.Millisecond

// awaitForwarded waits until no request that another host has passed on is in flight, or ctx ends.
func (h *host) awaitForwarded(ctx context.Context) {
	for h.forwarded.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, forwardedPollInterval)
	}
}

// newHelperClient returns the client for requests that this host passes on.
func (p *Platform) newHelperClient() *upstream.Client {
	c := upstream.NewClient(p.Headers)
	if p.Net != nil {
		c.Dial = p.Net.Dial
	}
	return c
}

// grantHelpers returns the hosts that can send grants for the planner. If a partition has made a grant
// time out, hosts behind it have not called since that was sent.
func (h *host) grantHelpers() []fleet.Host {
	now := time.Now()
	withoutClock := func(host fleet.Host) bool { return !host.HasClock }
	if recent := slices.DeleteFunc(h.fleet.HostsCalledSince(now.Add(-grantTimeout)), withoutClock); len(recent) > 0 {
		return recent
	}
	return slices.DeleteFunc(h.fleet.LiveHosts(now), withoutClock)
}

// sendRelayedGrant sends a grant or release to an upstream for the planner, unless it is late.
func (h *host) sendRelayedGrant(ctx context.Context, g peer.RelayedGrant) (handoverToken string, err error) {
	now := h.controller.clock()
	if h.dispatch.Paths.CutOff() || g.SendBy.Before(now) {
		return "", eris.Wrapf(ownership.ErrNotSent, "upstream %s: relayed grant is %v late", g.Addr, now.Sub(g.SendBy))
	}
	relayedForOthers.Inc()
	ctx, cancel := context.WithTimeout(ctx, g.EndBy.Sub(now))
	defer cancel()
	if g.TTL == 0 {
		return h.plat.Granter.Release(ctx, g.Addr, g.Range)
	}
	return "", h.plat.Granter.Grant(ctx, g.Addr, g.Range, g.TTL, false)
}

// relayGrant has another host send a grant, or a release if ttl is 0, that the planner decided on at the
// given time. The call ends within timeout of that.
func (c *controller) relayGrant(ctx context.Context, addr string, r ownership.Range, ttl time.Duration, decidedAt bootclock.Time, timeout time.Duration) (string, error) {
	helpers := c.grantHelpers()
	if len(helpers) == 0 {
		return "", eris.Wrapf(ownership.ErrNotSent, "upstream %s: no other host can send the grant", addr)
	}
	helper := c.helperChoice.pick(helpers, time.Now())
	// ClockOffset is too large by the delay of the call that stated the clock, so that the times come
	// out early.
	toHelper := func(t bootclock.Time) bootclock.Time { return t.Add(-helper.ClockOffset - clockDriftAllowance) }
	callCtx, cancel := context.WithTimeout(ctx, timeout-c.clock().Sub(decidedAt))
	defer cancel()
	relayedGrants.Inc()
	token, err := c.relayGrantTo(callCtx, helper.PeerAddr, peer.RelayedGrant{Addr: addr, Range: r, TTL: ttl,
		SendBy: toHelper(decidedAt.Add(maxGrantSendDelay)), EndBy: toHelper(decidedAt.Add(timeout))})
	if errors.Is(err, ownership.ErrNotSent) || errors.Is(err, ownership.ErrNoResponse) {
		c.helperChoice.failed(helper, time.Now())
	}
	return token, err
}

// helperChoice picks helpers at random, and those that failed recently only if there is no other.
type helperChoice struct {
	mu       sync.Mutex
	failedAt map[string]time.Time
}

// helperRetryInterval is how long a helper that failed is left out.
const helperRetryInterval = time.Second

func (c *helperChoice) pick(helpers []fleet.Host, now time.Time) fleet.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(helpers), func(h fleet.Host) bool { return now.Sub(c.failedAt[h.Name]) < helperRetryInterval })
	if len(usable) == 0 {
		usable = helpers
	}
	return usable[rand.IntN(len(usable))]
}

func (c *helperChoice) failed(helper fleet.Host, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failedAt == nil {
		c.failedAt = map[string]time.Time{}
	}
	c.failedAt[helper.Name] = now
}

// release sends a release. It runs on a goroutine of its own.
func (c *controller) release(ctx context.Context, a *planner.Release, decidedAt bootclock.Time) (handoverToken string, err error) {
	if a.Indirect {
		return c.relayGrant(ctx, a.Addr, a.Range, 0, decidedAt, releaseTimeout)
	}
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	return c.granter.Release(callCtx, a.Addr, a.Range)
}
