package peer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/ratelimit"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// AcquirePermits requests permits for up to want requests to an upstream from the
// planner at addr (host:port), by the RPC Admit. perSecond is the upstream's rate
// limit.
func (c *Client) AcquirePermits(ctx context.Context, addr, upstream string, perSecond float64, want int) (ratelimit.PermitReply, error) {
	reply, err := peerpb.NewPeerProtobufClient("http://"+addr, c.http).Admit(ctx,
		&peerpb.AdmitRequest{Upstream: upstream, PerSecond: perSecond, Want: uint32(want)})
	if err != nil {
		return ratelimit.PermitReply{}, eris.Wrapf(err, "peer %s: acquire permits", addr)
	}
	return ratelimit.PermitReply{Permits: int(reply.Requests), Wait: time.Duration(reply.WaitMs) * time.Millisecond}, nil
}

// Admit implements peerpb.Peer. It issues permits for requests to an upstream with a
// rate limit.
func (s *Server) Admit(_ context.Context, m *peerpb.AdmitRequest) (*peerpb.AdmitReply, error) {
	reply, ok := s.IssuePermits(m.Upstream, m.PerSecond, int(m.Want))
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "this host does not plan")
	}
	// WaitMs is rounded up: a host that retried just before the next permit is due
	// would have to retry again.
	return &peerpb.AdmitReply{Requests: uint32(reply.Permits), WaitMs: uint32((reply.Wait + time.Millisecond - 1).Milliseconds())}, nil
}

func encodeNotices(ns []feedback.Notice) []*peerpb.UpstreamNotice {
	var out []*peerpb.UpstreamNotice
	for _, n := range ns {
		out = append(out, &peerpb.UpstreamNotice{Id: n.Upstream, Limit: n.RateLimit, LimitKnown: n.RateLimitAge >= 0,
			LimitAgeMs: uint32(max(n.RateLimitAge, 0).Milliseconds()), Leaving: n.Leaving, LeavingAgeMs: uint32(n.LeavingAge.Milliseconds()),
			RestHosts: uint32(n.BackoffHosts), RestLeftMs: uint32(n.BackoffLeft.Milliseconds()),
			Ended: n.Crashed, EndedAgeMs: uint32(n.CrashAge.Milliseconds())})
	}
	return out
}

// isSilence reports whether the message is a balance.SilenceNotice. Earlier builds ignore it: they
// read RestLeftMs only with RestHosts, and EndedAgeMs only with Ended.
func isSilence(m *peerpb.UpstreamNotice) bool { return m.RestHosts == 0 && m.RestLeftMs > 0 }

func encodeSilences(ns []balance.SilenceNotice) []*peerpb.UpstreamNotice {
	var out []*peerpb.UpstreamNotice
	for _, n := range ns {
		out = append(out, &peerpb.UpstreamNotice{Id: n.ID, EndedAgeMs: uint32(max(n.For, 0).Milliseconds()), RestLeftMs: uint32(max(n.Left.Milliseconds(), 1))})
	}
	return out
}

func decodeSilences(ms []*peerpb.UpstreamNotice) []balance.SilenceNotice {
	var out []balance.SilenceNotice
	for _, m := range ms {
		if isSilence(m) {
			out = append(out, balance.SilenceNotice{ID: m.Id, For: time.Duration(m.EndedAgeMs) * time.Millisecond, Left: time.Duration(m.RestLeftMs) * time.Millisecond})
		}
	}
	return out
}

func decodeNotices(ms []*peerpb.UpstreamNotice) []feedback.Notice {
	var out []feedback.Notice
	for _, m := range ms {
		if isSilence(m) {
			continue
		}
		n := feedback.Notice{Upstream: m.Id, RateLimit: m.Limit, RateLimitAge: -1, Leaving: m.Leaving,
			LeavingAge:   time.Duration(m.LeavingAgeMs) * time.Millisecond,
			BackoffHosts: int(m.RestHosts), BackoffLeft: time.Duration(m.RestLeftMs) * time.Millisecond,
			Crashed: m.Ended, CrashAge: time.Duration(m.EndedAgeMs) * time.Millisecond}
		if m.LimitKnown {
			n.RateLimitAge = time.Duration(m.LimitAgeMs) * time.Millisecond
		}
		out = append(out, n)
	}
	return out
}
