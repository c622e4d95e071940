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
	fails  int
	probed bool
	down   bool
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

func (l *Loop) applyProbe(name string, err error) {
	h := l.health[name]
	if h == nil {
		h = &health{}
		l.health[name] = h
	}
	h.probed = true
	if err == nil {
		if h.down {
			l.zl.Info("upstream up", zap.Int("event", events.UpstreamUp), zap.String("peer", name))
		}
		h.fails, h.down = 0, false
		return
	}
	h.fails++
	if !h.down && h.fails >= l.opts.ProbeFailures {
		h.down = true
		l.zl.Warn("upstream down", zap.Int("event", events.UpstreamDown), zap.String("peer", name), zap.Error(err))
	}
}

// contact is one message of a grant round: a grant (or renewal) to a
// member, or a plain probe of a local upstream that is not a member.
type contact struct {
	u     manifest.Upstream
	grant *target.Grant
	err   error
}

// grant sends every member upstream in this data centre its fenced grant
// at the epoch in force (the full shard list once per epoch, a renewal
// after) and probes local non-members, concurrently; the answers are
// applied as health on the loop goroutine. A target refuses a grant older
// than the one it holds, so a host with a stale view cannot roll it back.
func (l *Loop) grant(ctx context.Context) {
	if l.man == nil {
		return
	}
	jobs := l.contacts()
	ctx, cancel := context.WithTimeout(ctx, l.opts.ProbeInterval)
	defer cancel()
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			j := &jobs[i]
			if j.grant == nil {
				probes.Inc()
				j.err = l.targets.Probe(ctx, &j.u)
				return
			}
			grants.Inc()
			n, err := l.targets.SendGrant(ctx, &j.u, j.grant)
			grantBytes.Add(n)
			j.err = err
		})
	}
	wg.Wait()
	for _, j := range jobs {
		l.applyProbe(j.u.Name, j.err)
		switch {
		case j.grant == nil:
		case j.err != nil:
			delete(l.granted, j.u.Name)
			l.zl.Debug("grant failed", zap.Int("event", events.GrantFailed), zap.String("peer", j.u.Name), zap.Error(j.err))
		case !j.grant.Renew:
			l.granted[j.u.Name] = j.grant.Epoch
		}
	}
}

// contacts lists this round's messages, one per local upstream.
func (l *Loop) contacts() []contact {
	var jobs []contact
	for i := range l.man.Services {
		svc := &l.man.Services[i]
		st := l.states[svc.Name+"/"+l.opts.DataCentre]
		for _, u := range l.localUpstreams(svc) {
			if !l.renews(u.Name) {
				continue
			}
			if st == nil || st.assign == nil || !slices.ContainsFunc(st.assign.Members, func(m manifest.Upstream) bool { return m.Name == u.Name }) {
				jobs = append(jobs, contact{u: u})
				continue
			}
			g := &target.Grant{Service: svc.Name, Epoch: st.state.Epoch, Since: st.since[u.Name],
				TTLMs: l.opts.GrantTTL.Milliseconds()}
			if l.granted[u.Name] == g.Epoch {
				g.Renew = true
			} else {
				g.Shards = st.assign.ShardsOf(u.Name)
			}
			jobs = append(jobs, contact{u: u, grant: g})
		}
	}
	return jobs
}
