package peer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/ratelimit"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// Admit asks the planner at addr (host:port) for leave for up to want requests to
// an upstream that takes perSecond.
func (c *Client) Admit(ctx context.Context, addr, upstream string, perSecond float64, want int) (ratelimit.Grant, error) {
	reply, err := peerpb.NewPeerProtobufClient("http://"+addr, c.http).Admit(ctx,
		&peerpb.AdmitRequest{Upstream: upstream, PerSecond: perSecond, Want: uint32(want)})
	if err != nil {
		return ratelimit.Grant{}, eris.Wrapf(err, "peer %s: admit", addr)
	}
	return ratelimit.Grant{Requests: int(reply.Requests), Wait: time.Duration(reply.WaitMs) * time.Millisecond}, nil
}

// Admit implements peerpb.Peer.
func (s *Server) Admit(_ context.Context, m *peerpb.AdmitRequest) (*peerpb.AdmitReply, error) {
	g, ok := s.Leave(m.Upstream, m.PerSecond, int(m.Want))
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "this host does not plan")
	}
	// Rounded up: a host that asked just before leave is due would ask twice.
	return &peerpb.AdmitReply{Requests: uint32(g.Requests), WaitMs: uint32((g.Wait + time.Millisecond - 1).Milliseconds())}, nil
}

func encodeNotices(ns []feedback.Notice) []*peerpb.UpstreamNotice {
	var out []*peerpb.UpstreamNotice
	for _, n := range ns {
		out = append(out, &peerpb.UpstreamNotice{Id: n.Upstream, Limit: n.Limit, LimitKnown: n.LimitAge >= 0,
			LimitAgeMs: uint32(max(n.LimitAge, 0).Milliseconds()), Leaving: n.Leaving, LeavingAgeMs: uint32(n.LeavingAge.Milliseconds()),
			RestHosts: uint32(n.RestHosts), RestLeftMs: uint32(n.RestLeft.Milliseconds()),
			Ended: n.Ended, EndedAgeMs: uint32(n.EndedAge.Milliseconds())})
	}
	return out
}

func decodeNotices(ms []*peerpb.UpstreamNotice) []feedback.Notice {
	var out []feedback.Notice
	for _, m := range ms {
		n := feedback.Notice{Upstream: m.Id, Limit: m.Limit, LimitAge: -1, Leaving: m.Leaving,
			LeavingAge: time.Duration(m.LeavingAgeMs) * time.Millisecond,
			RestHosts:  int(m.RestHosts), RestLeft: time.Duration(m.RestLeftMs) * time.Millisecond,
			Ended: m.Ended, EndedAge: time.Duration(m.EndedAgeMs) * time.Millisecond}
		if m.LimitKnown {
			n.LimitAge = time.Duration(m.LimitAgeMs) * time.Millisecond
		}
		out = append(out, n)
	}
	return out
}
