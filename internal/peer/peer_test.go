package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/desired"
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

// startServer starts a server that replies as the planner. Its load on an upstream is the
// length of the upstream's ID; it has no data for the ID "unknown".
func startServer(t *testing.T) (addr string, s *Server) {
	t.Helper()
	s = &Server{Replica: relay.NewReplica(), Feedback: feedback.NewTracker(), Fleet: fleet.New("dc"), OnKeyLoads: func([]ServiceLoad) {}, DesiredVersion: func() int64 { return 0 }, OnDesiredVersion: func(string, int64) {}, OnLoadStats: func(fleet.Host, []balance.LoadStats) {},
		OnDemand: func(fleet.Host, []shares.Demand) {}, Shares: func(fleet.Host) []shares.Share { return nil },
		ReplicaStatus: func(time.Time) (ReplicaStatus, bool) { return ReplicaStatus{IsPlanner: true}, true },
		PeerLoads: func(_ fleet.Host, ids []string) []balance.PeerLoad {
			out := make([]balance.PeerLoad, len(ids))
			for i, id := range ids {
				if id != "unknown" {
					out[i] = balance.PeerLoad{ID: id, InFlight: len(id), WorkTime: time.Duration(len(id)) * time.Millisecond}
				}
			}
			return out
		}}
	srv := httptest.NewServer(peerpb.NewPeerServer(s))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), s
}

// A host sends its subset of upstreams once, and again when the subset changes or the
// callee no longer has it, as after a restart. The loads that it receives must always
// belong to the subset of that call, never to an earlier one.
func TestPeerLoadsMatchTheRequestedSubset(t *testing.T) {
	addr, s := startServer(t)
	c := NewClient(http.DefaultClient)
	follow := func(hash uint64, ids ...string) []string {
		reply, err := c.Follow(t.Context(), addr, FollowRequest{Self: fleet.Host{Name: "h"}, Subset: balance.Subset{IDs: ids, Hash: hash}})
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, l := range reply.PeerLoads {
			got = append(got, fmt.Sprint(l.ID, l.InFlight))
		}
		return got
	}
	for i, step := range []struct {
		hash   uint64
		forget bool
		ids    []string
		want   []string
	}{
		{1, false, []string{"a", "bb", "unknown"}, []string{"a1", "bb2"}},
		{1, false, []string{"a", "bb", "unknown"}, []string{"a1", "bb2"}},
		{2, false, []string{"bb", "ccc"}, []string{"bb2", "ccc3"}},
		{2, true, []string{"bb", "ccc"}, nil},
		{2, false, []string{"bb", "ccc"}, []string{"bb2", "ccc3"}},
	} {
		if step.forget {
			s.mu.Lock()
			s.subsets = nil
			s.mu.Unlock()
		}
		if got := follow(step.hash, step.ids...); !slices.Equal(got, step.want) {
			t.Errorf("step %d: received %v, want %v", i, got, step.want)
		}
	}
}

// Encoding and decoding must not change the load samples that a host sends, nor mix
// up samples with and without an upstream.
func TestFollowDeliversLoadsUnchanged(t *testing.T) {
	addr, s := startServer(t)
	var got []ServiceLoad
	s.OnKeyLoads = func(l []ServiceLoad) { got = l }
	want := ServiceLoad{Service: "sheets", Weight: 1.5, Samples: []keyload.Sample{{Key: 7, Upstream: "u1", Latency: 20 * time.Millisecond}, {Key: 9}}}
	if _, err := NewClient(http.DefaultClient).Follow(t.Context(), addr, FollowRequest{Loads: []ServiceLoad{want}}); err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 || got[0].Service != want.Service || got[0].Weight != want.Weight || !slices.Equal(got[0].Samples, want.Samples) {
		t.Errorf("got %+v", got)
	}
}

// Guards against a follower that receives a large value whole for a small change, and against an
// earlier build that receives batches or values that it cannot read.
func TestLargeValuesAreSentAsTheirChanges(t *testing.T) {
	addr, s := startServer(t)
	c := NewClient(http.DefaultClient)
	follower := relay.NewReplica()
	value := make([]byte, 200_000)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	s.Replica.Apply(relay.Batch{Stream: metastore.StreamOperators, Reset: true})
	for i := range int64(3) {
		next := slices.Clone(value)
		next[i] ^= 1
		s.Replica.Apply(relay.Batch{Stream: metastore.StreamOperators, Records: []metastore.Record{{Key: "config", Value: next, Offset: i}}, Next: metastore.Position{Offset: i + 1}})
		positions := map[metastore.Stream]metastore.Position{metastore.StreamOperators: follower.Next(metastore.StreamOperators)}
		reply, err := s.Follow(t.Context(), &peerpb.FollowRequest{Positions: encodePositions(positions), AcceptsCompressed: true})
		if err != nil {
			t.Fatal(err)
		}
		if size := proto.Size(reply); i > 0 && size > 2000 {
			t.Errorf("version %d takes %d bytes for a change of two", i, size)
		}
		got, err := c.Follow(t.Context(), addr, FollowRequest{Positions: positions, Newest: follower.Newest})
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range got.Batches {
			follower.Apply(b)
		}
		if r, _ := follower.Newest(metastore.StreamOperators, "config"); !bytes.Equal(r.Value, next) {
			t.Fatalf("version %d: the follower has another value", i)
		}
	}
	old, err := s.Follow(t.Context(), &peerpb.FollowRequest{Positions: encodePositions(map[metastore.Stream]metastore.Position{metastore.StreamOperators: {Offset: 1}})})
	if err != nil || len(old.Batches) != 1 || !old.Batches[0].Reset_ || old.Batches[0].From != nil || len(old.Batches[0].Records[0].Value) != len(value) {
		t.Errorf("an earlier build that lacks two versions got %v, error %v; want a reset with the whole value", old, err)
	}
}

// Expected work must survive the transfer in both directions. Work below a millisecond must not
// become 0, which means that it is not known, and replies without any must not grow.
func TestExpectedWorkIsTransferred(t *testing.T) {
	addr, s := startServer(t)
	want := balance.LoadStats{ID: "u", InFlight: 2, Responses: 3, TotalLatency: time.Second, WorkInFlight: 1500 * time.Millisecond, AnsweredWork: 700 * time.Millisecond}
	var got []balance.LoadStats
	s.OnLoadStats = func(_ fleet.Host, loads []balance.LoadStats) { got = loads }
	var loads []balance.PeerLoad
	s.PeerLoads = func(fleet.Host, []string) []balance.PeerLoad { return loads }
	for _, work := range []time.Duration{0, 300 * time.Microsecond, 4 * time.Second} {
		loads = []balance.PeerLoad{{ID: "u", InFlight: 4, WorkTime: time.Second, WorkInFlight: work}}
		reply, err := NewClient(http.DefaultClient).Follow(t.Context(), addr, FollowRequest{LoadStats: []balance.LoadStats{want}, Subset: balance.Subset{IDs: []string{"u"}, Hash: 1}})
		if err != nil {
			t.Fatal(err)
		}
		if len(got) != 1 || got[0] != want {
			t.Errorf("callee received %+v, want %+v", got, want)
		}
		if w := reply.PeerLoads[0].WorkInFlight; w < work || w-work >= time.Millisecond {
			t.Errorf("received %v, want %v", w, work)
		}
	}
	m := &peerpb.FollowReply{}
	if setPeerLoads(m, []balance.PeerLoad{{ID: "u", InFlight: 4, WorkTime: time.Second}}); m.WorkUnderWayMs != nil {
		t.Errorf("the reply states the expected work of services that are not competing")
	}
}

// Speeds must survive the transfer: a wrong scale would make a new planner give most keys to slow
// upstreams. Hosts that get none must not receive an empty list instead of the earlier one. Notices of
// silent upstreams must arrive, and hosts of earlier builds, for which they are others, ignore them.
func TestSpeedsAndSilencesAreTransferred(t *testing.T) {
	addr, s := startServer(t)
	silence := balance.SilenceNotice{ID: "u", For: 1200 * time.Millisecond, Left: 900 * time.Millisecond}
	s.SilenceNotices = func(fleet.Host) []balance.SilenceNotice { return []balance.SilenceNotice{silence} }
	want := worktime.Speed{ID: "u", Speed: 1.7, Age: 1500 * time.Millisecond, Responses: 12}
	s.Speeds = func(caller fleet.Host) []worktime.Speed {
		if !caller.Candidate {
			return nil
		}
		return []worktime.Speed{want}
	}
	for _, candidate := range []bool{false, true} {
		reply, err := NewClient(http.DefaultClient).Follow(t.Context(), addr, FollowRequest{Self: fleet.Host{Name: "h", Candidate: candidate}})
		if err != nil {
			t.Fatal(err)
		}
		if got := reply.Speeds; (len(got) == 1 && got[0] == want) != candidate {
			t.Errorf("candidate %v received %+v", candidate, got)
		}
		s.Feedback.Merge("h", []feedback.Notice{{Upstream: "u", RateLimitAge: -1, CrashAge: silence.For, BackoffLeft: silence.Left}}, time.Now())
		if n := s.Feedback.Notices(time.Now()); n != nil || reply.Notices != nil || !slices.Equal(reply.Silences, []balance.SilenceNotice{silence}) {
			t.Errorf("received %+v and %+v, an earlier build has %+v", reply.Silences, reply.Notices, n)
		}
	}
}

// Shares and demand must arrive as they were sent, in whole milliseconds. A share of zero
// must not be taken for that of a service that is not scarce, which is not limited.
func TestSharesAndDemandArrive(t *testing.T) {
	addr, s := startServer(t)
	class := desired.Class{Service: "pay", Priority: 1, Objective: 600 * time.Millisecond}
	demand := []shares.Demand{{Class: class, Arrived: 9, Answered: 4, Latency: 700 * time.Millisecond, Promised: 2}, {Class: desired.Class{Service: "pay", Priority: -1}}}
	want := []shares.Share{{Class: class, Work: 160 * time.Millisecond, AdmittedFraction: 1},
		{Class: class, Work: 160 * time.Millisecond, Scarce: true, PerSecond: 1200 * time.Millisecond, Valid: shares.Validity, AdmittedFraction: 0.25},
		{Class: class, Scarce: true, Valid: shares.Validity, AdmittedFraction: 1}}
	var received []shares.Demand
	s.OnDemand = func(_ fleet.Host, d []shares.Demand) { received = d }
	s.Shares = func(fleet.Host) []shares.Share { return want }
	reply, err := NewClient(http.DefaultClient).Follow(t.Context(), addr, FollowRequest{Self: fleet.Host{Name: "h"}, Demand: demand})
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(received, demand) {
		t.Errorf("demand %v arrived as %v", demand, received)
	}
	if !slices.Equal(reply.Shares, want) {
		t.Errorf("shares %v arrived as %v", want, reply.Shares)
	}
}

// Guards against grants of a lost helper that count as ended: only a helper that could not be connected to has
// sent nothing.
func TestRelayedGrantWithoutReplyHasNoKnownEnd(t *testing.T) {
	ended := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended }))
	defer silent.Close()
	defer close(ended)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for url, want := range map[string]error{silent.URL: ownership.ErrSenderLost, closed.URL: ownership.ErrNotSent} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := NewClient(http.DefaultClient).RelayGrant(ctx, strings.TrimPrefix(url, "http://"), RelayedGrant{Addr: "u:1"})
		cancel()
		if !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
	}
}
