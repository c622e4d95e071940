package peer

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// helpersHash identifies a list of helpers; 0 is an empty one.
func helpersHash(addrs []string) uint32 {
	if len(addrs) == 0 {
		return 0
	}
	h := fnv.New32a()
	for _, a := range addrs {
		_, _ = h.Write([]byte(a + " ")) // never fails
	}
	return max(h.Sum32(), 1)
}

// RelayedGrant is a grant or release that a host sends to an upstream for the planner.
type RelayedGrant struct {
	// Addr is the upstream's address (host:port).
	Addr  string
	Range ownership.Range
	// TTL is how long the grant lasts; 0 for a release.
	TTL time.Duration
	// SendBy is the latest time of sending, EndBy that of the end of the call, by the clock of the
	// host that sends it.
	SendBy, EndBy bootclock.Time
}

// grantOutcomes are the errors of a call to an upstream, by their codes in replies.
var grantOutcomes = map[peerpb.RelayGrantReply_Outcome]error{
	peerpb.RelayGrantReply_NO_RESPONSE: ownership.ErrNoResponse, peerpb.RelayGrantReply_NOT_SENT: ownership.ErrNotSent,
	peerpb.RelayGrantReply_FENCED: ownership.ErrFenced, peerpb.RelayGrantReply_REJECTED: ownership.ErrRejected}

// RelayGrant has the host at addr (host:port) send a grant or release, and returns the handover token
// of a release. The error wraps sentinel errors of package ownership.
func (c *Client) RelayGrant(ctx context.Context, addr string, g RelayedGrant) (handoverToken string, err error) {
	reply, err := peerpb.NewPeerProtobufClient("http://"+addr, c.http).RelayGrant(ctx, &peerpb.RelayGrantRequest{Addr: g.Addr, Owner: g.Range.Owner,
		From: uint32(g.Range.From), To: uint32(g.Range.To), Fence: g.Range.FencingToken, Handover: g.Range.HandoverToken, TtlMs: uint32(g.TTL.Milliseconds()),
		SendBy: int64(g.SendBy), EndBy: int64(g.EndBy)})
	if op := (*net.OpError)(nil); errors.As(err, &op) && op.Op == "dial" {
		return "", eris.Wrapf(errors.Join(ownership.ErrNotSent, err), "peer %s: relay grant", addr)
	}
	if err != nil {
		return "", eris.Wrapf(errors.Join(ownership.ErrNoResponse, ownership.ErrSenderLost, err), "peer %s: relay grant", addr)
	}
	if failure := grantOutcomes[reply.Outcome]; failure != nil {
		return "", eris.Wrapf(failure, "peer %s: relay grant: %s", addr, reply.Error)
	}
	return reply.Handover, nil
}

// RelayGrant implements peerpb.Peer.
func (s *Server) RelayGrant(ctx context.Context, m *peerpb.RelayGrantRequest) (*peerpb.RelayGrantReply, error) {
	g := RelayedGrant{Addr: m.Addr, TTL: time.Duration(m.TtlMs) * time.Millisecond, SendBy: bootclock.Time(m.SendBy), EndBy: bootclock.Time(m.EndBy),
		Range: ownership.Range{From: int(m.From), To: int(m.To), Owner: m.Owner, FencingToken: m.Fence, HandoverToken: m.Handover}}
	token, err := s.SendGrant(ctx, g)
	if err == nil {
		return &peerpb.RelayGrantReply{Outcome: peerpb.RelayGrantReply_ACCEPTED, Handover: token}, nil
	}
	reply := &peerpb.RelayGrantReply{Error: err.Error()}
	for outcome, failure := range grantOutcomes {
		if errors.Is(err, failure) {
			reply.Outcome = outcome
		}
	}
	return reply, nil
}
