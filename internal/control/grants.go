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

type health struct {
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

// upstreamCall is one message of a grant round: a grant (or renewal) to a
// member, or a plain probe of a local upstream that is not a member.
type upstreamCall struct {
	upstream manifest.Upstream
	grant    *target.Grant
	err      error
}

// sendGrants sends every member upstream in this data centre its fenced grant
// at the epoch in force (the full shard list once per epoch, a renewal
// after) and probes local non-members, concurrently; the answers are
// applied as health on the loop goroutine. A target refuses a grant older
// than the one it holds, so a host with a stale view cannot roll it back.
func (l *Loop) sendGrants(ctx context.Context) {
	if l.manifest == nil {
		return
	}
	jobs := l.upstreamCalls()
	ctx, cancel := context.WithTimeout(ctx, l.opts.ProbeInterval)
	defer cancel()
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			j := &jobs[i]
			if j.grant == nil {
				probes.Inc()
				j.err = l.targets.Probe(ctx, &j.upstream)
				return
			}
			grants.Inc()
			n, err := l.targets.SendGrant(ctx, &j.upstream, j.grant)
			grantBytes.Add(n)
			j.err = err
		})
	}
	wg.Wait()
	for _, j := range jobs {
		l.recordProbe(j.upstream.Name, j.err)
		switch {
		case j.grant == nil:
		case j.err != nil:
			delete(l.grantedEpoch, j.upstream.Name)
			l.logger.Debug("grant failed", zap.Int("event", events.GrantFailed), zap.String("peer", j.upstream.Name), zap.Error(j.err))
		case !j.grant.Renew:
			l.grantedEpoch[j.upstream.Name] = j.grant.Epoch
		}
	}
}

// upstreamCalls lists this round's messages, one per local upstream.
func (l *Loop) upstreamCalls() []upstreamCall {
	var jobs []upstreamCall
	for i := range l.manifest.Services {
		svc := &l.manifest.Services[i]
		st := l.states[svc.Name+"/"+l.opts.DataCentre]
		for _, u := range l.localUpstreams(svc) {
			if !l.isRenewer(u.Name) {
				continue
			}
			if st == nil || st.assignment == nil || !slices.ContainsFunc(st.assignment.Members, func(m manifest.Upstream) bool { return m.Name == u.Name }) {
				jobs = append(jobs, upstreamCall{upstream: u})
				continue
			}
			g := &target.Grant{Service: svc.Name, Epoch: st.state.Epoch, Since: st.sinceEpoch[u.Name],
				TTLMs: l.opts.GrantTTL.Milliseconds()}
			if l.grantedEpoch[u.Name] == g.Epoch {
				g.Renew = true
			} else {
				g.Shards = st.assignment.ShardsOf(u.Name)
			}
			jobs = append(jobs, upstreamCall{upstream: u, grant: g})
		}
	}
	return jobs
}
