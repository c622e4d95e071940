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

// newMixedFleet starts three candidates and the given number of hosts that are none:
// they seek the planner lease only while no candidate seems alive.
func newMixedFleet(t *testing.T, nonCandidates int) *testFleet {
	t.Helper()
	f := newFleet(t, 3, 3)
	f.addServiceUpstream("plain", "plain0")
	for i := range nonCandidates {
		f.startHostWithCPU(fmt.Sprint("weak", i), nonCandidateCPU)
	}
	for _, h := range f.hosts {
		f.waitServed(h, startupTimeout)
	}
	time.Sleep(2 * time.Second)
	return f
}

// The log service is down for 8 s. If every host retried each stream several times a
// second, thousands of hosts would make more calls than the service can handle and
// delay its recovery. Only a few hosts may call it, and the desired state published
// on its return must be in force on every host in time.
func TestFewHostsCallFailingLogService(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		const hosts, outage = 40, 8 * time.Second
		f := newMixedFleet(t, hosts)
		before := f.log.WeightedCalls()
		f.log.SetDown(true)
		time.Sleep(outage)
		calls := f.log.WeightedCalls() - before
		t.Logf("%.0f calls during the outage", calls)
		// The candidates make some ten calls a second in all. The other hosts
		// make one each, and then a few a second in all.
		if maxCalls := hosts + 30*int(outage.Seconds()); calls > float64(maxCalls) {
			t.Errorf("%.0f calls in %v, want at most %d", calls, outage, maxCalls)
		}
		f.log.SetDown(false)
		f.log.Put(metastore.StreamOperators, "state", []byte("2"))
		time.Sleep(settleTime)
		for _, h := range f.hosts {
			if v := h.desiredVersion(t); v != 2 {
				t.Errorf("%s has version %d in force %v after the log service's return", h.cfg.Host, v, settleTime)
			}
		}
	})
}

// The planner's host is isolated. If every host found the new planner by reading all
// streams of the log itself, each change of planner would cost five or six calls per
// host. Hosts that follow a running relay need none. All hosts together may make at
// most two calls for each host that is no candidate.
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
		if maxCalls := 2 * hosts; calls > float64(maxCalls) {
			t.Errorf("%.0f calls for a change of planner, want at most %d", calls, maxCalls)
		}
		for _, h := range f.hosts {
			if h != planner {
				f.waitServed(h, maxFailover)
			}
		}
	})
}

// desiredVersion returns the version of the desired state in force on the host, or
// 0 if there is none.
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

// unresponsiveStore does not respond to reads that begin while partitioned is set.
type unresponsiveStore struct {
	*memstore.Log
	partitioned atomic.Bool
}

func (s *unresponsiveStore) Read(ctx context.Context, st metastore.Stream, from metastore.Position, wait time.Duration) (metastore.Batch, error) {
	if s.partitioned.Load() {
		ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutSlack)
		defer cancel()
		<-ctx.Done()
		return metastore.Batch{}, metastore.ErrNoResponse
	}
	return s.Log.Read(ctx, st, from, wait)
}

// readTimeoutSlack is how much longer than its wait a read may take.
const readTimeoutSlack = 1500 * time.Millisecond

// A network partition separates a host from the log service: its calls hang. An upstream leaves
// meanwhile. It must be marked as leaving within 3 s of the partition's end. If a read begun
// during the partition delays the next one by 1.5 s, the host sends it requests for longer,
// because upstreams with missing entries stay in use for 2 s.
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
			ownershipReader, others := c.newStreamReaders(ctx)
			for _, reader := range append(others, ownershipReader) {
				go reader.run(ctx)
			}
			time.Sleep(time.Second)
			log.partitioned.Store(true)
			time.Sleep(8*time.Second + rand.N(time.Second))
			log.Put(metastore.StreamUpstreams, "u", nil)
			log.partitioned.Store(false)
			time.Sleep(settleTime)
			if u := views.Load().Upstreams.ByID["u"]; u != nil && !u.Leaving {
				t.Errorf("%v after the end of the partition the upstream is not marked as leaving", settleTime)
			}
			cancel()
			synctest.Wait()
		}
	})
}
