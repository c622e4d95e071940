package peer

import (
	"context"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/ratelimit"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/internal/shares"
	"github.com/papayatide/papayatide/internal/worktime"
	"github.com/papayatide/papayatide/rpc/peerpb"
	"github.com/twitchtv/twirp"
)

// ReplicaStatus states how current a host's log replica is.
type ReplicaStatus struct {
	// IsPlanner is set if the host is the planner, whose replica the others follow.
	IsPlanner bool
	// Age and LogReachableFor are as in FollowReply.
	Age, LogReachableFor time.Duration
}

// Server handles calls from other hosts.
type Server struct {
	// Replica is this host's replica of the log, which callers follow.
	Replica *relay.Replica
	// ReplicaStatus returns the status of the replica; false if this host is not the
	// planner, has not followed it recently and has not read the log service recently.
	ReplicaStatus func(now time.Time) (ReplicaStatus, bool)
	// Fleet records each call.
	Fleet *fleet.Fleet
	// OnKeyLoads receives the loads of each call.
	OnKeyLoads func([]ServiceLoad)
	// OnLoadStats receives the caller's load on upstreams. PeerLoads returns the load of
	// the other hosts in the caller's data centre on each of the given upstreams.
	OnLoadStats func(caller fleet.Host, loads []balance.LoadStats)
	PeerLoads   func(caller fleet.Host, ids []string) []balance.PeerLoad
	// SilenceNotices returns the upstreams that respond to none of several hosts of the caller's
	// data centre.
	SilenceNotices func(caller fleet.Host) []balance.SilenceNotice
	// Speeds returns the speeds of upstreams of keyed services to send to the caller; nil if it
	// gets none in this reply.
	Speeds func(caller fleet.Host) []worktime.Speed
	// OnDemand receives the caller's demand by class; Shares returns its shares.
	OnDemand func(caller fleet.Host, demand []shares.Demand)
	Shares   func(caller fleet.Host) []shares.Share
	// DesiredVersion returns the version of the desired state in force on this host, 0 if there
	// is none. OnDesiredVersion receives that of each caller.
	DesiredVersion   func() int64
	OnDesiredVersion func(host string, version int64)
	// Clock is this host's clock. Helpers returns the helpers for the caller; nil if there are none.
	Clock   bootclock.Clock
	Helpers func(caller fleet.Host) []string
	// SendGrant sends a grant or release to an upstream for the planner.
	SendGrant func(context.Context, RelayedGrant) (handoverToken string, err error)
	// Feedback tracks reports and crashes of upstreams.
	Feedback *feedback.Tracker
	// IssuePermits issues permits to callers, for requests to an upstream with a rate
	// limit; false if this host is not the planner.
	IssuePermits func(upstream string, perSecond float64, want int) (ratelimit.PermitReply, bool)
	// Name is this host's name.
	Name string
	// RetireTermsBefore stops this host's planning of a service in terms before the given
	// one, and reports whether no grant from those terms is in flight any more.
	// After a return of the log before the given era it also returns the closing of its last term.
	RetireTermsBefore func(ctx context.Context, service string, term, era int64) ownership.Retirement
	// HostStatus returns this host's status.
	HostStatus func(context.Context) *peerpb.StatusReply

	encoder valueEncoder

	mu sync.Mutex
	// subsets holds the upstreams for which each caller wants loads, by its host name.
	subsets map[string]balance.Subset
}

// Retire implements peerpb.Peer.
func (s *Server) Retire(ctx context.Context, m *peerpb.RetireRequest) (*peerpb.RetireReply, error) {
	result := s.RetireTermsBefore(ctx, m.Service, m.Term, m.Era)
	reply := &peerpb.RetireReply{Host: s.Name, Retired: result.Retired, ProcessAgeMs: uint64(result.ProcessAge.Milliseconds())}
	if result.Closing != nil {
		var err error
		if reply.Closing, err = result.Closing.Encode(); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
	}
	return reply, nil
}

// Status implements peerpb.Peer.
func (s *Server) Status(ctx context.Context, _ *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return s.HostStatus(ctx), nil
}

// maxFollowWait bounds how long Follow waits for new records.
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
	s.OnKeyLoads(loads)
	caller := fleet.Host{Name: m.Host, DataCentre: m.DataCentre, PeerAddr: m.PeerAddr, Candidate: m.Eager, Followers: int(m.Followers), CutOff: m.CutOff}
	if m.Clock != 0 {
		caller.ClockOffset, caller.HasClock = s.Clock().Sub(bootclock.Time(m.Clock)), true
	}
	s.Fleet.RecordCall(caller, time.Now())
	s.OnDesiredVersion(m.Host, m.DesiredVersion)
	s.OnLoadStats(caller, decodeLoadStats(m.Uses))
	s.OnDemand(caller, decodeDemand(m.Demand))
	notices := decodeNotices(m.Notices)
	s.Feedback.Merge(caller.Name, notices, time.Now())
	reply := &peerpb.FollowReply{}
	batches := s.Replica.Fetch(ctx, decodePositions(m.Positions, s.Replica.Positions()), min(time.Duration(m.WaitMs)*time.Millisecond, maxFollowWait))
	if m.AcceptsCompressed {
		if reply.Batches, err = s.encoder.encodeBatches(batches); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
	} else {
		reply.Batches = encodeForEarlierBuild(ctx, s.Replica, batches)
	}
	reply.DesiredVersion = s.DesiredVersion()
	reply.Notices = encodeNotices(feedback.ForFollower(s.Feedback.Notices(time.Now()), notices))
	subset := s.subsetOf(m)
	reply.UsingToken = subset.Hash
	setPeerLoads(reply, s.PeerLoads(caller, subset.IDs))
	if s.SilenceNotices != nil {
		reply.Notices = append(reply.Notices, encodeSilences(s.SilenceNotices(caller))...)
	}
	if s.Speeds != nil {
		reply.Speeds = encodeSpeeds(s.Speeds(caller))
	}
	reply.Shares = encodeShares(s.Shares(caller))
	return reply, s.setReplyStatus(reply, caller, m.HelpersKnown)
}

// setPeerLoads sets the loads in the reply. Expected work is left out if no service is competing.
func setPeerLoads(reply *peerpb.FollowReply, loads []balance.PeerLoad) {
	competing := false
	for _, l := range loads {
		reply.UnderWay = append(reply.UnderWay, uint32(max(l.InFlight, 0)))
		reply.WorkMs = append(reply.WorkMs, uint32(l.WorkTime.Milliseconds()))
		reply.WorkUnderWayMs = append(reply.WorkUnderWayMs, encodeWork(l.WorkInFlight))
		competing = competing || l.WorkInFlight > 0
	}
	if !competing {
		reply.WorkUnderWayMs = nil
	}
}

// maxSubsets bounds the stored subsets; at the bound all are dropped, and callers send
// theirs again. It is far above the number of hosts that follow the same host.
const maxSubsets = 1024

// subsetOf returns the upstreams for which the caller wants loads: those in the request,
// or the stored ones if the hash matches. This avoids sending about a hundred upstream
// IDs in each call; the result is empty if the caller must send them again.
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

// setReplyStatus sets the replica's status, the fleet's size, the relay to follow and the caller's
// helpers in the reply, these only if helpersKnown is not their hash.
func (s *Server) setReplyStatus(reply *peerpb.FollowReply, caller fleet.Host, helpersKnown uint32) error {
	now := time.Now()
	status, ok := s.ReplicaStatus(now)
	if !ok {
		return twirp.NewError(twirp.Unavailable, "this host has lost the planner")
	}
	reply.AgeMs = uint32(status.Age.Milliseconds())
	reply.Positions = encodePositions(s.Replica.Positions()) // after the age, so that they cover it
	reply.SteadyMs = uint32(status.LogReachableFor.Milliseconds())
	reply.Hosts = uint32(s.Fleet.Size(now))
	if s.Helpers != nil {
		if helpers := s.Helpers(caller); helpersHash(helpers) != helpersKnown {
			reply.Helpers = helpers
		}
	}
	if status.IsPlanner {
		reply.Relay = s.Fleet.RelayFor(caller, now)
	}
	return nil
}

func decodeLoadStats(ms []*peerpb.UpstreamUse) []balance.LoadStats {
	var out []balance.LoadStats
	for _, m := range ms {
		out = append(out, balance.LoadStats{ID: m.Id, InFlight: int(m.UnderWay), Responses: int(m.Answered), TotalLatency: time.Duration(m.LatencyMs) * time.Millisecond,
			WorkInFlight: time.Duration(m.WorkUnderWayMs) * time.Millisecond, AnsweredWork: time.Duration(m.AnsweredWorkMs) * time.Millisecond,
			Reported: max(int(m.ReportedPlusOne)-1, 0), HasReport: m.ReportedPlusOne > 0})
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
