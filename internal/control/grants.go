package control

import (
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/target"
)

// health is the result of the probes of one upstream.
type health struct {
	// failures counts consecutive failed probes.
	failures int
	probed   bool
	down     bool
}

// localUpstreams returns the upstreams of svc in this data centre.
func (l *Loop) localUpstreams(svc *manifest.Service) []manifest.Upstream {
	var out []manifest.Upstream
	for _, u := range svc.Upstreams {
		if u.DataCentre == l.opts.DataCentre {
			out = append(out, u)
		}
	}
	return out
}

// recordProbe updates the health of the named upstream with a probe's result
// and logs a change between up and down.
func (l *Loop) recordProbe(name string, err error) {
	h := l.health[name]
	if h == nil {
		h = &health{}
		l.health[name] = h
	}
	h.probed = true
	if err == nil {
		if h.down {
			l.logger.Info("upstream up", zap.Int("event", events.UpstreamUp), zap.String("peer", name))
		}
		h.failures, h.down = 0, false
		return
	}
	h.failures++
	if !h.down && h.failures >= l.opts.ProbeFailures {
		h.down = true
		l.logger.Warn("upstream down", zap.Int("event", events.UpstreamDown), zap.String("peer", name), zap.Error(err))
	}
}

// upstreamCall is one call of a grant round: a grant or renewal to a member,
// or a health probe (grant is nil) of a local upstream that is not a member.
type upstreamCall struct {
	upstream manifest.Upstream
	grant    *target.Grant
	err      error
}

// sendGrants runs one grant round: concurrent calls to the local upstreams that this host is
// responsible for. A member gets a grant at the current epoch, in full once per epoch and then
// as a renewal; the response counts as a health probe. Others get a probe. A target rejects an
// older epoch than that of the grant it holds, so a host with a stale view cannot revert it.
func (l *Loop) sendGrants(ctx context.Context) {
	if l.manifest == nil {
		return
	}
	calls := l.upstreamCalls()
	ctx, cancel := context.WithTimeout(ctx, l.opts.ProbeInterval)
	defer cancel()
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			call := &calls[i]
			if call.grant == nil {
				probes.Inc()
				call.err = l.targets.Probe(ctx, &call.upstream)
				return
			}
			grants.Inc()
			sentBytes, err := l.targets.SendGrant(ctx, &call.upstream, call.grant)
			grantBytes.Add(sentBytes)
			call.err = err
		})
	}
	wg.Wait()
	for _, call := range calls {
		l.recordProbe(call.upstream.Name, call.err)
		switch {
		case call.grant == nil:
		case call.err != nil:
			delete(l.grantedEpoch, call.upstream.Name)
			l.logger.Debug("grant failed", zap.Int("event", events.GrantFailed), zap.String("peer", call.upstream.Name), zap.Error(call.err))
		case !call.grant.Renew:
			l.grantedEpoch[call.upstream.Name] = call.grant.Epoch
		}
	}
}

// upstreamCalls returns the calls of one grant round: one for each local
// upstream that this host is responsible for.
func (l *Loop) upstreamCalls() []upstreamCall {
	var calls []upstreamCall
	for i := range l.manifest.Services {
		svc := &l.manifest.Services[i]
		p := l.placements[svc.Name+"/"+l.opts.DataCentre]
		for _, u := range l.localUpstreams(svc) {
			if !l.isResponsibleFor(u.Name) {
				continue
			}
			if p == nil || p.assignment == nil || !slices.ContainsFunc(p.assignment.Members, func(m manifest.Upstream) bool { return m.Name == u.Name }) {
				calls = append(calls, upstreamCall{upstream: u})
				continue
			}
			g := &target.Grant{Service: svc.Name, Epoch: p.state.Epoch, Since: p.sinceEpoch[u.Name],
				TTLMs: l.opts.GrantTTL.Milliseconds()}
			if l.grantedEpoch[u.Name] == g.Epoch {
				g.Renew = true
			} else {
				g.Shards = p.assignment.ShardsOf(u.Name)
			}
			calls = append(calls, upstreamCall{upstream: u, grant: g})
		}
	}
	return calls
}
