// Package peer carries messages between entry hosts.
package peer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/keyload"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ratelimit"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// ServiceLoad is what callers asked of one keyed service.
type ServiceLoad struct {
	Service string
	// Weight is how many requests each sample stands for.
	Weight  float64
	Samples []keyload.Sample
}

// Client calls other entry hosts.
type Client struct {
	http *http.Client
	mu   sync.Mutex
	// subsetHashes holds the token of the list of upstreams that the host at each address
	// knows of this one.
	subsetHashes map[string]uint64
}

// NewClient returns a client that calls over hc.
func NewClient(hc *http.Client) *Client { return &Client{http: hc, subsetHashes: map[string]uint64{}} }

// FollowRequest is what a host says when it calls Follow.
type FollowRequest struct {
	Self fleet.Host
	// Positions are how far it has read each stream.
	Positions map[metastore.Stream]int64
	// Loads are what its callers asked for since its last call.
	Loads []ServiceLoad
	// LoadStats are what it has at upstreams that any host may choose.
	LoadStats []balance.LoadStats
	// Subset are the upstreams of which it wants to know what others have there.
	Subset balance.Subset
	// Notices are what upstreams have reported of themselves.
	Notices []feedback.Notice
	// Wait is how long the call may wait for something new.
	Wait time.Duration
}

// FollowReply is the answer to Follow.
type FollowReply struct {
	// Batches are what this host lacks of the log.
	Batches []relay.Batch
	// Age is how long ago the planner last knew that its copy is current.
	Age time.Duration
	// LogReachableFor is for how long it has reached the log service without a break.
	LogReachableFor time.Duration
	// HostCount is how many hosts there are.
	HostCount int
	// Relay is where to call from now on (host:port); empty for the same
	// host again.
	Relay string
	// PeerLoads is what the other hosts of the data centre have at the upstreams
	// asked for; empty if the host asked is in another one.
	PeerLoads []balance.PeerLoad
	// Notices are what upstreams have reported of themselves to other hosts.
	Notices []feedback.Notice
}

// ErrNoCopy means that a host answered that it has no copy of the log that could
// be followed: it reaches neither the planner nor the log service.
var ErrNoReplica = errors.New("no copy of the log to follow")

// Follow hands loads to the host at addr (host:port), the planner or a relay,
// and returns what this host lacks of the log.
func (c *Client) Follow(ctx context.Context, addr string, q FollowRequest) (*FollowReply, error) {
	msg := &peerpb.FollowRequest{Host: q.Self.Name, DataCentre: q.Self.DataCentre, PeerAddr: q.Self.PeerAddr,
		Eager: q.Self.Candidate, Followers: uint32(q.Self.Followers), WaitMs: uint32(q.Wait.Milliseconds())}
	for _, s := range relay.Streams {
		msg.Positions = append(msg.Positions, &peerpb.Position{Stream: string(s), Next: q.Positions[s]})
	}
	for _, l := range q.Loads {
		msg.Loads = append(msg.Loads, encodeLoad(l))
	}
	for _, u := range q.LoadStats {
		msg.Uses = append(msg.Uses, &peerpb.UpstreamUse{Id: u.ID, UnderWay: uint32(u.InFlight), Answered: uint32(u.Answered),
			LatencyMs: uint32(u.Latency.Milliseconds())})
	}
	msg.Notices = encodeNotices(q.Notices)
	msg.UsingToken = q.Subset.Hash
	if c.knownSubset(addr) != q.Subset.Hash {
		msg.Using = q.Subset.IDs
	}
	reply, err := peerpb.NewPeerProtobufClient("http://"+addr, c.http).Follow(ctx, msg)
	if err != nil {
		var told twirp.Error
		if errors.As(err, &told) && told.Code() == twirp.Unavailable {
			err = errors.Join(ErrNoReplica, err)
		}
		return nil, eris.Wrapf(err, "peer %s: follow", addr)
	}
	out := &FollowReply{Age: time.Duration(reply.AgeMs) * time.Millisecond, LogReachableFor: time.Duration(reply.SteadyMs) * time.Millisecond,
		HostCount: int(reply.Hosts), Relay: reply.Relay, Notices: decodeNotices(reply.Notices)}
	for _, b := range reply.Batches {
		out.Batches = append(out.Batches, decodeBatch(b))
	}
	c.setKnownSubset(addr, reply.UsingToken)
	if reply.UsingToken == q.Subset.Hash {
		out.PeerLoads = decodePeerLoads(q.Subset.IDs, reply)
	}
	return out, nil
}

// decodePeerLoads returns what the reply says of the upstreams, where it does.
func decodePeerLoads(ids []string, reply *peerpb.FollowReply) []balance.PeerLoad {
	var out []balance.PeerLoad
	for i, id := range ids {
		if i < len(reply.UnderWay) && i < len(reply.WorkMs) && reply.WorkMs[i] > 0 {
			out = append(out, balance.PeerLoad{ID: id, InFlight: int(reply.UnderWay[i]), WorkTime: time.Duration(reply.WorkMs[i]) * time.Millisecond})
		}
	}
	return out
}

// knownSubset returns the token of the list of upstreams that the host at addr
// knows of this one; 0 if it knows none.
func (c *Client) knownSubset(addr string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.subsetHashes[addr]
}

// setKnownSubset notes which list the host at addr knows. Only a few are followed.
func (c *Client) setKnownSubset(addr string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.subsetHashes) >= maxKnownSubsets {
		clear(c.subsetHashes)
	}
	c.subsetHashes[addr] = token
}

// maxTold bounds the hosts of which is remembered what they were told.
const maxKnownSubsets = 16

// Retire asks the host at addr (host:port) to send no more grants of terms
// before the given one. It returns that host's name and whether it sends none.
func (c *Client) Retire(ctx context.Context, addr, service string, term int64) (host string, retired bool, err error) {
	reply, err := peerpb.NewPeerProtobufClient("http://"+addr, c.http).Retire(ctx, &peerpb.RetireRequest{Service: service, Term: term})
	if err != nil {
		return "", false, eris.Wrapf(err, "peer %s: retire", addr)
	}
	return reply.Host, reply.Retired, nil
}

func encodeLoad(l ServiceLoad) *peerpb.ServiceLoad {
	out := &peerpb.ServiceLoad{Service: l.Service, Weight: l.Weight}
	index := map[string]uint32{"": 0}
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
		return out, eris.Errorf("load report for %s: lists of %d, %d and %d entries", m.Service, len(m.Keys), len(m.Upstream), len(m.LatencyMs))
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

func encodeBatch(b relay.Batch) *peerpb.Batch {
	out := &peerpb.Batch{Stream: string(b.Stream), Reset_: b.Reset, Next: b.NextOffset}
	for _, r := range b.Records {
		out.Records = append(out.Records, &peerpb.Record{Key: r.Key, Value: r.Value, Deleted: r.Value == nil, Offset: r.Offset})
	}
	for _, c := range b.Changes {
		out.Changes = append(out.Changes, &peerpb.Change{Key: c.Key, Offset: c.Offset, Value: c.Data})
	}
	return out
}

func decodeBatch(m *peerpb.Batch) relay.Batch {
	out := relay.Batch{Stream: metastore.Stream(m.Stream), Reset: m.Reset_, NextOffset: m.Next}
	for _, r := range m.Records {
		rec := metastore.Record{Key: r.Key, Value: r.Value, Offset: r.Offset}
		if r.Deleted {
			rec.Value = nil
		}
		out.Records = append(out.Records, rec)
	}
	for _, c := range m.Changes {
		out.Changes = append(out.Changes, relay.Change{Key: c.Key, Offset: c.Offset, Data: c.Value})
	}
	return out
}

// ReplicaStatus is how far a host's copy of the log can be relied on.
type ReplicaStatus struct {
	// Planning is set on the planner, whose copy the others follow.
	Planning bool
	// Age and Steady are as in Answer.
	Age, LogReachableFor time.Duration
}

// Server answers other hosts.
type Server struct {
	// Copy is this host's copy of the log.
	Copy *relay.Replica
	// ReplicaStatus returns the copy's standing; false if this host neither plans
	// nor has lately followed the planner itself.
	ReplicaStatus func(now time.Time) (ReplicaStatus, bool)
	// Fleet is told of each call.
	Fleet *fleet.Fleet
	// OnLoads is handed each report.
	OnLoads func([]ServiceLoad)
	// OnLoadStats is handed what the caller has at upstreams, Others returns what the
	// other hosts of its data centre have at each of those with the given IDs.
	OnLoadStats func(caller fleet.Host, uses []balance.LoadStats)
	PeerLoads   func(caller fleet.Host, ids []string) []balance.PeerLoad
	// Feedback is what upstreams have reported of themselves.
	Feedback *feedback.Tracker
	// AcquirePermits gives leave to send to an upstream with a rate limit; false if this
	// host does not plan.
	AcquirePermits func(upstream string, perSecond float64, want int) (ratelimit.Permit, bool)
	// Name is this host's.
	Name string
	// RetireTermsBefore stops what this host plans of a service in terms before the
	// given one, and reports whether no grant of those is under way any more.
	RetireTermsBefore func(ctx context.Context, service string, term int64) bool
	// HostStatus describes this host.
	HostStatus func(context.Context) *peerpb.StatusReply

	mu sync.Mutex
	// subsets are the upstreams that each caller is told of, by its name.
	subsets map[string]balance.Subset
}

// Retire implements peerpb.Peer.
func (s *Server) Retire(ctx context.Context, m *peerpb.RetireRequest) (*peerpb.RetireReply, error) {
	return &peerpb.RetireReply{Host: s.Name, Retired: s.RetireTermsBefore(ctx, m.Service, m.Term)}, nil
}

// Status implements peerpb.Peer.
func (s *Server) Status(ctx context.Context, _ *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return s.HostStatus(ctx), nil
}

// maxWait bounds how long a call is kept waiting.
const maxFollowWait = 2 * time.Second

// Follow implements peerpb.Peer.
func (s *Server) Follow(ctx context.Context, m *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	if _, ok := s.ReplicaStatus(time.Now()); !ok {
		return nil, twirp.NewError(twirp.Unavailable, "this host is neither the planner nor does it follow one")
	}
	loads, err := decodeLoads(m.Loads)
	if err != nil {
		return nil, twirp.InvalidArgumentError("loads", err.Error())
	}
	s.OnLoads(loads)
	caller := fleet.Host{Name: m.Host, DataCentre: m.DataCentre, PeerAddr: m.PeerAddr, Candidate: m.Eager, Followers: int(m.Followers)}
	s.Fleet.RecordHeartbeat(caller, time.Now())
	positions := map[metastore.Stream]int64{}
	for _, p := range m.Positions {
		positions[metastore.Stream(p.Stream)] = p.Next
	}
	s.OnLoadStats(caller, decodeLoadStats(m.Uses))
	notices := decodeNotices(m.Notices)
	s.Feedback.Merge(caller.Name, notices, time.Now())
	reply := &peerpb.FollowReply{}
	for _, b := range s.Copy.Fetch(ctx, positions, min(time.Duration(m.WaitMs)*time.Millisecond, maxFollowWait)) {
		reply.Batches = append(reply.Batches, encodeBatch(b))
	}
	reply.Notices = encodeNotices(feedback.ForFollower(s.Feedback.Notices(time.Now()), notices))
	using := s.subsetOf(m)
	reply.UsingToken = using.Hash
	for _, o := range s.PeerLoads(caller, using.IDs) {
		reply.UnderWay = append(reply.UnderWay, uint32(max(o.InFlight, 0)))
		reply.WorkMs = append(reply.WorkMs, uint32(o.WorkTime.Milliseconds()))
	}
	return reply, s.setReplyStatus(reply, caller)
}

// maxLists bounds the lists that are kept: far over the hosts that follow one.
const maxSubsets = 1024

// subsetOf returns the upstreams that the caller is to be told of: those that it
// names now, or the last ones if it means the same. Without it each call and each
// answer would name a hundred upstreams.
func (s *Server) subsetOf(m *peerpb.FollowRequest) balance.Subset {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(m.Using) > 0 {
		if s.subsets == nil || len(s.subsets) >= maxSubsets {
			s.subsets = map[string]balance.Subset{}
		}
		s.subsets[m.Host] = balance.Subset{IDs: m.Using, Hash: m.UsingToken}
	}
	if known := s.subsets[m.Host]; known.Hash == m.UsingToken {
		return known
	}
	return balance.Subset{}
}

// setReplyStatus says in the reply how far it can be relied on and whom the caller
// calls next.
func (s *Server) setReplyStatus(reply *peerpb.FollowReply, caller fleet.Host) error {
	now := time.Now()
	st, ok := s.ReplicaStatus(now)
	if !ok {
		return twirp.NewError(twirp.Unavailable, "this host has lost the planner")
	}
	reply.AgeMs = uint32(st.Age.Milliseconds())
	reply.SteadyMs = uint32(st.LogReachableFor.Milliseconds())
	reply.Hosts = uint32(s.Fleet.Size(now))
	if st.Planning {
		reply.Relay = s.Fleet.RelayFor(caller, now)
	}
	return nil
}

func decodeLoadStats(ms []*peerpb.UpstreamUse) []balance.LoadStats {
	var out []balance.LoadStats
	for _, m := range ms {
		out = append(out, balance.LoadStats{ID: m.Id, InFlight: int(m.UnderWay), Answered: int(m.Answered), Latency: time.Duration(m.LatencyMs) * time.Millisecond})
	}
	return out
}

func decodeLoads(ms []*peerpb.ServiceLoad) ([]ServiceLoad, error) {
	var out []ServiceLoad
	for _, m := range ms {
		l, err := decodeLoad(m)
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}
