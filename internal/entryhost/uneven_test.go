package entryhost

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/worktime"
)

// Requests find silent upstreams; when many become silent at once, that must not flood the log.
func TestSilentUpstreamsAreLoggedOnceASecond(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l, now := &limitedLogger{zl: zap.New(core)}, time.Unix(1000, 0)
	for range 50 {
		l.log("silent", 636, "u", now)
	}
	l.log("silent", 636, "u", now.Add(limitedLogInterval))
	if logs.Len() != 2 || logs.All()[1].ContextMap()["untold"] != int64(49) {
		t.Errorf("logged %v", logs.All())
	}
}

// Speeds go to candidates only, at most once per speedsInterval, with the age that they have when
// they are sent: a relay that was cut off must not pass on old speeds as new ones.
func TestSpeedsAreSentToCandidates(t *testing.T) {
	x, now := &speedExchange{}, time.Unix(1000, 0)
	x.set([]worktime.Speed{{ID: "u", Speed: 1.7, Age: time.Second, Responses: 9}}, now)
	candidate := fleet.Host{Name: "c", Candidate: true}
	if got := x.forCaller(fleet.Host{Name: "h"}, now); got != nil {
		t.Errorf("a host that is no candidate received %v", got)
	}
	if got := x.forCaller(candidate, now.Add(time.Second)); len(got) != 1 || got[0].Age != 2*time.Second {
		t.Errorf("received %+v", got)
	}
	if got := x.forCaller(candidate, now.Add(2*time.Second)); got != nil {
		t.Errorf("received %+v again", got)
	}
	if got := x.forCaller(candidate, now.Add(3*time.Second)); len(got) != 1 || got[0].Age != 4*time.Second {
		t.Errorf("received %+v", got)
	}
}

// A candidate must have the planner's speeds of a competing service while the planner runs: when
// it is lost they cannot be asked for any more. Without competing services none are sent.
func TestCandidatesLearnSpeedsFromThePlanner(t *testing.T) {
	for _, competing := range []bool{true, false} {
		t.Run(strconv.FormatBool(competing), func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 2, 3)
				if competing {
					f.log.Put(metastore.StreamOperators, "state", []byte("2 competing"))
				}
				f.waitServed(f.hosts[0], 10*time.Second)
				for i := range 200 {
					f.hosts[i%2].call("GET", "read.example", fmt.Sprint("r", i), i*327)
				}
				time.Sleep(2 * speedsInterval)
				for _, h := range f.hosts {
					self := fleet.Host{Name: "probe", DataCentre: "dc", Candidate: true}
					reply, err := peer.NewClient(f.http).Follow(t.Context(), h.cfg.PeerListen, peer.FollowRequest{Self: self})
					if err != nil {
						t.Fatal(err)
					}
					if got := len(reply.Speeds); (competing && got != 3) || (!competing && got != 0) {
						t.Errorf("%s sends the speeds of %d upstreams", h.cfg.Host, got)
					}
				}
			})
		})
	}
}

// Guards against notices of silent upstreams that do not reach all hosts: the one that finds them, and
// those that follow it.
func TestAllHostsAreToldOfSilentUpstream(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f, told := newFleet(t, 4, 1), make([]float64, 4)
		f.addContendedUpstream("c0", 150*time.Millisecond)
		slots := f.addContendedUpstream("c1", 150*time.Millisecond)
		f.waitServed(f.hosts[0], startupTimeout)
		var load sync.WaitGroup
		load.Go(func() { f.loadOn(f.hosts, urgentRoute, 1, 8*time.Second) })
		load.Go(func() { f.loadOn(f.hosts, relaxedRoute, 1, 8*time.Second) })
		time.Sleep(4 * time.Second)
		for range contendedSlots {
			slots <- struct{}{}
		}
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for i, h := range f.hosts {
				told[i] = max(told[i], h.gauge(t, "papayatide_upstreams_noticed_silent"))
			}
		}
		for range contendedSlots {
			<-slots
		}
		if load.Wait(); slices.Min(told) == 0 {
			t.Errorf("silent upstreams by the notices that each host got: %v", told)
		}
	})
}
