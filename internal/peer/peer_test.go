package peer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/keyload"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// startServer is a host that answers as one that can be followed.
func startServer(t *testing.T) (addr string, s *Server) {
	t.Helper()
	s = &Server{Copy: relay.NewReplica(), Feedback: feedback.NewTracker(), Fleet: fleet.New("dc"), OnLoads: func([]ServiceLoad) {}, OnLoadStats: func(fleet.Host, []balance.LoadStats) {},
		ReplicaStatus: func(time.Time) (ReplicaStatus, bool) { return ReplicaStatus{Planning: true}, true },
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

// A host names the upstreams that it wants to hear of once, and again when they
// change or the host that it follows has forgotten them, as one does that starts
// again. What it is told is always of those that it meant.
func TestPeerLoadsMatchTheRequestedSubset(t *testing.T) {
	addr, s := startServer(t)
	c := NewClient(http.DefaultClient)
	ask := func(token uint64, ids ...string) []string {
		a, err := c.Follow(t.Context(), addr, FollowRequest{Self: fleet.Host{Name: "h"}, Subset: balance.Subset{IDs: ids, Hash: token}})
		if err != nil {
			t.Fatal(err)
		}
		var told []string
		for _, o := range a.PeerLoads {
			told = append(told, fmt.Sprint(o.ID, o.InFlight))
		}
		return told
	}
	for i, step := range []struct {
		token  uint64
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
		if got := ask(step.token, step.ids...); !slices.Equal(got, step.want) {
			t.Errorf("step %d: told %v, want %v", i, got, step.want)
		}
	}
}

// What callers asked of keyed services reaches the planner as it was reported.
func TestFollowDeliversLoadsUnchanged(t *testing.T) {
	addr, s := startServer(t)
	var got []ServiceLoad
	s.OnLoads = func(l []ServiceLoad) { got = l }
	want := ServiceLoad{Service: "sheets", Weight: 1.5, Samples: []keyload.Sample{{Key: 7, Upstream: "u1", Latency: 20 * time.Millisecond}, {Key: 9}}}
	if _, err := NewClient(http.DefaultClient).Follow(t.Context(), addr, FollowRequest{Loads: []ServiceLoad{want}}); err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 || got[0].Service != want.Service || got[0].Weight != want.Weight || !slices.Equal(got[0].Samples, want.Samples) {
		t.Errorf("got %+v", got)
	}
}
