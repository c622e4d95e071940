package entryhost

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/standin/memstore"
	"github.com/papayatide/papayatide/internal/view"
)

// newMixedFleet is a fleet of which three hosts can plan and relay.
func newMixedFleet(t *testing.T, weak int) *testFleet {
	t.Helper()
	f := newFleet(t, 3, 3)
	f.addServiceUpstream("plain", "plain0")
	for i := range weak {
		f.startHostWithCPU(fmt.Sprint("weak", i), nonCandidateCPU)
	}
	for _, h := range f.hosts {
		f.waitServed(h, startupTimeout)
	}
	time.Sleep(2 * time.Second)
	return f
}

// The log service is down for 8 s. Every host asked it again several times a
// second, of each stream: thousands of hosts would ask more than it answers, and
// drown its return. A few of them ask. What is published on its return is in
// force on every host in time, and no upstream is taken for gone whose entry
// lapsed meanwhile.
func TestFewHostsCallFailingLogService(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		const hosts, outage = 40, 8 * time.Second
		f := newMixedFleet(t, hosts)
		before := f.log.WeightedCalls()
		f.log.SetDown(true)
		time.Sleep(outage)
		calls := f.log.WeightedCalls() - before
		t.Logf("%.0f calls while it was down", calls)
		// The strong ones ask some ten times a second in all, the weak ones
		// once each and then a few of them a second.
		if most := hosts + 30*int(outage.Seconds()); calls > float64(most) {
			t.Errorf("%.0f calls in %v, want at most %d", calls, outage, most)
		}
		f.log.SetDown(false)
		f.log.Put(metastore.StreamDesired, "state", []byte("2"))
		time.Sleep(settleTime)
		for _, h := range f.hosts {
			if v := h.desiredVersion(t); v != 2 {
				t.Errorf("%s is at version %d, %v after the service's return", h.cfg.Host, v, settleTime)
			}
		}
	})
}

// The planner is killed. The others learnt who plans now by reading every stream
// of the log themselves, five calls a host for each change of planner. Those
// behind a relay that lives need not.
func TestPlannerChangeCostsFewCalls(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		const hosts = 30
		f := newMixedFleet(t, hosts)
		var planner *testHost
		for _, h := range f.hosts {
			if h.cfg.Host == f.log.LeaseHolder() {
				planner = h
			}
		}
		before := f.log.WeightedCalls()
		f.isolateHost(planner)
		time.Sleep(6 * time.Second)
		calls := f.log.WeightedCalls() - before
		t.Logf("%.0f calls", calls)
		if most := 2 * hosts; calls > float64(most) {
			t.Errorf("%.0f calls for a change of planner, want at most %d", calls, most)
		}
		for _, h := range f.hosts {
			if h != planner {
				f.waitServed(h, maxHandover)
			}
		}
	})
}

// desiredVersion returns the version of the desired state that is in force on the host.
func (h *testHost) desiredVersion(t *testing.T) int64 {
	t.Helper()
	resp, err := h.http.Get("http://" + h.cfg.MetricsListen + "/metrics")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: metrics: %v", h.cfg.Host, err)
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "papayatide_desired_version "); ok {
			v, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return v
		}
	}
	return 0
}

// unresponsiveStore never answers reads that set out during a cut.
type unresponsiveStore struct {
	*memstore.Log
	partitioned atomic.Bool
}

func (s *unresponsiveStore) Read(ctx context.Context, st metastore.Stream, from int64, wait time.Duration) (metastore.Batch, error) {
	if s.partitioned.Load() {
		ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutSlack)
		defer cancel()
		<-ctx.Done()
		return metastore.Batch{}, metastore.ErrNoAnswer
	}
	return s.Log.Read(ctx, st, from, wait)
}

// callSlack is how much longer than its wait a read may take.
const readTimeoutSlack = 1500 * time.Millisecond

// A host is cut off from the log service, silently. An upstream leaves meanwhile.
// Callers were sent to it until 3 s after the cut's end and more: a read that had
// set out in the cut held up the next for 1.5 s, and entries that are missing are
// spared for 2 s. The host must be through with both within those 3 s.
func TestLeavingUpstreamIsKnownInTimeAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			log := &unresponsiveStore{Log: memstore.New()}
			log.Put(metastore.StreamUpstreams, "u", []byte(`{"ID":"u","Service":"plain"}`))
			views := view.NewPublisher()
			c := newController(zap.NewNop(), log, decoder{}, nil, views, planner.Options{Host: "h"}, testEvacuationTimeout)
			c.crashes = newCrashLog(zap.NewNop(), log, c.isPlanner.Load)
			ctx, cancel := context.WithCancel(t.Context())
			go c.run(ctx)
			own, rest := c.newStreamReaders(ctx)
			for _, f := range append(rest, own) {
				go f.run(ctx)
			}
			time.Sleep(time.Second)
			log.partitioned.Store(true)
			time.Sleep(8*time.Second + rand.N(time.Second))
			log.Put(metastore.StreamUpstreams, "u", nil)
			log.partitioned.Store(false)
			time.Sleep(settleTime)
			if u := views.Load().Upstreams.ByID["u"]; u != nil && !u.Leaving {
				t.Errorf("%v after the cut's end the upstream is taken for one that stays", settleTime)
			}
			cancel()
			synctest.Wait()
		}
	})
}
