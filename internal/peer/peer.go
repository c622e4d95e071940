// Package peer implements the RPCs between entry hosts.
//
// The names in peerpb and the texts of the errors that a server returns are fixed.
// Some names differ from the terms of this package:
//
//	Admit                          acquire permits (a host), issue permits (the planner)
//	Batch.Changes, Change          relay.Batch.Deltas, relay.Delta
//	Retire                         retire the terms before the given one
//	Eager                          fleet.Host.Candidate
//	Planning                       the host is the planner
//	SteadyMs                       FollowReply.LogReachableFor
//	Using, UsingToken              balance.Subset.IDs, balance.Subset.Hash
//	Uses, UpstreamUse              balance.LoadStats
//	UnderWay                       InFlight in LoadStats and PeerLoad
//	WorkUnderWayMs                 WorkInFlight in LoadStats and PeerLoad
//	AnsweredWorkMs                 AnsweredWork in LoadStats
//	RestHosts, RestLeftMs          feedback.Notice.BackoffHosts, BackoffLeft
//	Ended, EndedAgeMs              feedback.Notice.Crashed, CrashAge
//	RestLeftMs without RestHosts   balance.SilenceNotice.Left; EndedAgeMs is its For
package peer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/keyload"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/internal/shares"
	"github.com/papayatide/papayatide/internal/worktime"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// ServiceLoad samples the requests that a host received for one keyed service.
type ServiceLoad struct {
	Service string
	// Weight is how many requests each sample represents.
	Weight  float64
	Samples []keyload.Sample
}

// Client calls other entry hosts.
type Client struct {
	http *http.Client
	mu   sync.Mutex
	// subsetHashes holds the hash of this host's subset of upstreams as last acknowledged
	// by the host at each address.
	subsetHashes map[string]uint64
}

// NewClient returns a client that makes its calls with hc.
func NewClient(hc *http.Client) *Client { return &Client{http: hc, subsetHashes: map[string]uint64{}} }

// FollowRequest holds the arguments of Follow.
type FollowRequest struct {
	// Self describes the calling host.
	Self fleet.Host
	// Positions holds the position of the next record that it needs from each stream; offset
	// -1 for the newest record of every key.
	Positions map[metastore.Stream]metastore.Position
	// Newest returns the newest record of a key in its replica; false if there is none.
	Newest func(s metastore.Stream, key string) (metastore.Record, bool)
	// Loads samples the requests that it received since its last call.
	Loads []ServiceLoad
	// LoadStats holds its load on upstreams of services without keys.
	LoadStats []balance.LoadStats
	// Subset lists the upstreams for which it wants the load of the other hosts.
	Subset balance.Subset
	// Notices holds what it knows of upstreams from reports and crashes.
	Notices []feedback.Notice
	// Demand is what its callers asked of each class of the competing services since its
	// last call.
	Demand []shares.Demand
	// DesiredVersion is the version of the desired state in force on it; 0 if there is none.
	DesiredVersion int64
	// Clock is this host's clock. HelpersKnown are the helpers that it was told last.
	Clock        bootclock.Time
	HelpersKnown []string
	// Wait is how long the callee may wait for new records before it replies.
	Wait time.Duration
}

// FollowReply is the result of Follow.
type FollowReply struct {
	// Batches holds the log records that the calling host lacks.
	Batches []relay.Batch
	// Age is how long before ReceivedAt the callee's replica was last known to be current with
	// the log service, at most. Positions holds how far it had been read then; nil if the
	// callee does not state it.
	Age        time.Duration
	ReceivedAt time.Time
	Positions  map[metastore.Stream]metastore.Position
	// LogReachableFor is how long the host that reads the log service, normally the
	// planner, has reached it without a failure.
	LogReachableFor time.Duration
	// HostCount is the number of hosts in the fleet.
	HostCount int
	// Relay is the host to follow from now on (host:port); empty to stay with the
	// callee.
	Relay string
	// PeerLoads is the load of the other hosts of the data centre on the requested
	// upstreams; empty if the callee is in another data centre.
	PeerLoads []balance.PeerLoad
	// Speeds holds the speeds of upstreams of keyed services, if this host is a candidate; empty
	// in most replies.
	Speeds []worktime.Speed
	// Shares holds the calling host's shares of the competing services; empty if the callee
	// is in another data centre or does not know the demand yet.
	Shares []shares.Share
	// Notices holds what the callee knows of upstreams beyond the notices in the request.
	Notices []feedback.Notice
	// Silences holds the upstreams that respond to none of several hosts of the data centre; empty
	// if the callee is in another data centre.
	Silences []balance.SilenceNotice
	// Helpers are the peer addresses of hosts that reach upstreams, for when this one does not; nil
	// if they are the known ones.
	Helpers []string
	// DesiredVersion is the version of the desired state in force on the callee; 0 if there
	// is none or the callee does not state it.
	DesiredVersion int64
}

// ErrReplicaNotCurrent means that the callee's log replica is not current: it is not the
// planner, has not followed it recently and has not read the log service recently.
var ErrReplicaNotCurrent = errors.New("log replica is not current")

// Follow sends this host's state to the host at addr (host:port), the planner or a
// relay, and returns the log records that this host lacks.
func (c *Client) Follow(ctx context.Context, addr string, req FollowRequest) (*FollowReply, error) {
	msg := &peerpb.FollowRequest{Host: req.Self.Name, DataCentre: req.Self.DataCentre, PeerAddr: req.Self.PeerAddr,
		Eager: req.Self.Candidate, Followers: uint32(req.Self.Followers), WaitMs: uint32(req.Wait.Milliseconds()),
		DesiredVersion: req.DesiredVersion, AcceptsCompressed: true, CutOff: req.Self.CutOff, HelpersKnown: helpersHash(req.HelpersKnown), Clock: int64(req.Clock)}
	msg.Positions = encodePositions(req.Positions)
	for _, l := range req.Loads {
		msg.Loads = append(msg.Loads, encodeLoad(l))
	}
	for _, u := range req.LoadStats {
		msg.Uses = append(msg.Uses, &peerpb.UpstreamUse{Id: u.ID, UnderWay: uint32(u.InFlight), Answered: uint32(u.Responses),
			LatencyMs: uint32(u.TotalLatency.Milliseconds()), WorkUnderWayMs: encodeWork(u.WorkInFlight), AnsweredWorkMs: encodeWork(u.AnsweredWork), ReportedPlusOne: encodeReported(u)})
	}
	msg.Notices = encodeNotices(req.Notices)
	msg.Demand = encodeDemand(req.Demand)
	msg.UsingToken = req.Subset.Hash
	if c.knownSubset(addr) != req.Subset.Hash {
		msg.Using = req.Subset.IDs
	}
	receivedAt := time.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { receivedAt = time.Now() }})
	reply, err := peerpb.NewPeerProtobufClient("http://"+addr, c.http).Follow(ctx, msg)
	if err != nil {
		var rpcErr twirp.Error
		if errors.As(err, &rpcErr) && rpcErr.Code() == twirp.Unavailable {
			err = errors.Join(ErrReplicaNotCurrent, err)
		}
		return nil, eris.Wrapf(err, "peer %s: follow", addr)
	}
	out := &FollowReply{Age: time.Duration(reply.AgeMs) * time.Millisecond, ReceivedAt: receivedAt, Positions: decodePositions(reply.Positions, req.Positions), LogReachableFor: time.Duration(reply.SteadyMs) * time.Millisecond,
		HostCount: int(reply.Hosts), Relay: reply.Relay, Notices: decodeNotices(reply.Notices), Silences: decodeSilences(reply.Notices), Speeds: decodeSpeeds(reply.Speeds),
		DesiredVersion: reply.DesiredVersion, Shares: decodeShares(reply.Shares), Helpers: reply.Helpers}
	for _, m := range reply.Batches {
		b, ok, err := decodeBatch(m, req)
		if err != nil {
			return nil, eris.Wrapf(err, "peer %s: follow", addr)
		}
		if ok {
			out.Batches = append(out.Batches, b)
		}
	}
	c.setKnownSubset(addr, reply.UsingToken)
	if reply.UsingToken == req.Subset.Hash {
		out.PeerLoads = decodePeerLoads(req.Subset.IDs, reply)
	}
	return out, nil
}

// decodePeerLoads returns the loads in the reply, which are in the order of ids. It omits
// upstreams for which the callee has no data.
func decodePeerLoads(ids []string, reply *peerpb.FollowReply) []balance.PeerLoad {
	var out []balance.PeerLoad
	for i, id := range ids {
		if i < len(reply.UnderWay) && i < len(reply.WorkMs) && reply.WorkMs[i] > 0 {
			load := balance.PeerLoad{ID: id, InFlight: int(reply.UnderWay[i]), WorkTime: time.Duration(reply.WorkMs[i]) * time.Millisecond}
			if i < len(reply.WorkUnderWayMs) {
				load.WorkInFlight = time.Duration(reply.WorkUnderWayMs[i]) * time.Millisecond
			}
			out = append(out, load)
		}
	}
	return out
}

// encodeWork returns expected work in milliseconds, rounded up, because 0 means that it is not
// known.
func encodeWork(work time.Duration) uint32 {
	return uint32(max((work + time.Millisecond - 1).Milliseconds(), 0))
}

// knownSubset returns the hash of this host's subset that the host at addr last
// acknowledged; 0 if none.
func (c *Client) knownSubset(addr string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.subsetHashes[addr]
}

// setKnownSubset records the subset that the host at addr acknowledged.
func (c *Client) setKnownSubset(addr string, hash uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.subsetHashes) >= maxKnownSubsets {
		clear(c.subsetHashes)
	}
	c.subsetHashes[addr] = hash
}

// maxKnownSubsets bounds the hosts in subsetHashes. A host follows only a few others.
const maxKnownSubsets = 16

// Retire requests that the host at addr (host:port), a previous planner, send no more
// grants of a service in terms before the given one. The host itself keeps running. The
// result has the closing of its last term if the log has returned from an older copy before the
// given era.
func (c *Client) Retire(ctx context.Context, addr, service string, term, era int64) (ownership.Retirement, error) {
	reply, err := peerpb.NewPeerProtobufClient("http://"+addr, c.http).Retire(ctx, &peerpb.RetireRequest{Service: service, Term: term, Era: era})
	if err != nil {
		return ownership.Retirement{}, eris.Wrapf(err, "peer %s: retire", addr)
	}
	result := ownership.Retirement{Host: reply.Host, Retired: reply.Retired, ProcessAge: time.Duration(reply.ProcessAgeMs) * time.Millisecond}
	if len(reply.Closing) > 0 {
		if result.Closing, err = ownership.Decode(reply.Closing); err != nil {
			return ownership.Retirement{}, eris.Wrapf(err, "peer %s: retire", addr)
		}
	}
	return result, nil
}

func encodeLoad(l ServiceLoad) *peerpb.ServiceLoad {
	out := &peerpb.ServiceLoad{Service: l.Service, Weight: l.Weight}
	index := map[string]uint32{"": 0} // position in Upstreams + 1; 0 for none
	for _, s := range l.Samples {
		i, ok := index[s.Upstream]
		if !ok {
			out.Upstreams = append(out.Upstreams, s.Upstream)
			i = uint32(len(out.Upstreams))
			index[s.Upstream] = i
		}
		out.Keys = append(out.Keys, uint32(s.Key))
		out.Upstream = append(out.Upstream, i)
		out.LatencyMs = append(out.LatencyMs, uint32(s.Latency.Milliseconds()))
	}
	return out
}

func decodeLoad(m *peerpb.ServiceLoad) (ServiceLoad, error) {
	out := ServiceLoad{Service: m.Service, Weight: m.Weight}
	if len(m.Upstream) != len(m.Keys) || len(m.LatencyMs) != len(m.Keys) {
		return out, eris.Errorf("load report for %s: list lengths differ: %d keys, %d upstreams, %d latencies", m.Service, len(m.Keys), len(m.Upstream), len(m.LatencyMs))
	}
	for i, k := range m.Keys {
		s := keyload.Sample{Key: int(k), Latency: time.Duration(m.LatencyMs[i]) * time.Millisecond}
		if u := int(m.Upstream[i]); u > 0 && u <= len(m.Upstreams) {
			s.Upstream = m.Upstreams[u-1]
		}
		out.Samples = append(out.Samples, s)
	}
	return out, nil
}

func encodePositions(positions map[metastore.Stream]metastore.Position) []*peerpb.Position {
	var out []*peerpb.Position
	for _, s := range relay.Streams {
		p := positions[s]
		out = append(out, &peerpb.Position{Stream: string(s), Next: p.Offset, Era: &p.Era})
	}
	return out
}

// decodePositions returns nil if there are none, as in replies of earlier builds. These know no
// eras; theirs are taken for those of own.
func decodePositions(ms []*peerpb.Position, own map[metastore.Stream]metastore.Position) map[metastore.Stream]metastore.Position {
	if len(ms) == 0 {
		return nil
	}
	out := map[metastore.Stream]metastore.Position{}
	for _, m := range ms {
		s := metastore.Stream(m.Stream)
		p := metastore.Position{Era: own[s].Era, Offset: m.Next}
		if m.Era != nil {
			p.Era = *m.Era
		}
		out[s] = p
	}
	return out
}

// encodeReported returns the requests in an upstream's load report plus one; 0 without a report.
func encodeReported(l balance.LoadStats) uint32 {
	if !l.HasReport {
		return 0
	}
	return uint32(l.Reported) + 1
}
