package daemon_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/refusal"
	"github.com/papayatide/papayatide/internal/standin/logsvc"
	"github.com/papayatide/papayatide/internal/standin/loopback"
	stand "github.com/papayatide/papayatide/internal/standin/target"
	"github.com/papayatide/papayatide/internal/target"
)

const testKey = "job-42"

func startFleet(t *testing.T, dcs []string, checked bool, hostsPerDC int) *loopback.Fleet {
	t.Helper()
	return startFleetFromSpec(t, loopback.Spec{DataCentres: dcs, Slots: 3, HostsPerDC: hostsPerDC,
		Services: []manifest.ServiceSize{{Name: "routeboard", Upstreams: 4 * len(dcs), FencingChecked: checked}},
		Settings: loopback.DefaultSettings(), Target: stand.Options{WorkTime: time.Millisecond}})
}

// startFleetFromSpec starts a fleet, publishes its manifest and waits until every
// entry host serves every service; the fleet is closed when tb ends.
func startFleetFromSpec(tb testing.TB, spec loopback.Spec) *loopback.Fleet {
	tb.Helper()
	f, err := loopback.Start(spec)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := f.Publish(ctx); err != nil {
		tb.Fatal(err)
	}
	if err := f.WaitReady(ctx); err != nil {
		tb.Fatal(err)
	}
	return f
}

type callResult struct {
	status  int
	header  http.Header
	body    stand.Answer
	refusal refusal.Refusal
}

func call(t *testing.T, method, url, idemKey string) callResult {
	t.Helper()
	req, _ := http.NewRequest(method, url, nil)
	if idemKey != "" {
		req.Header.Set(target.HeaderIdempotencyKey, idemKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("%s %s: %v", method, url, err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	r := callResult{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode == http.StatusOK {
		_ = json.Unmarshal(body, &r.body)
	} else {
		_ = json.Unmarshal(body, &r.refusal)
	}
	return r
}

// waitServed polls host until key is answered by an upstream other than not,
// and returns that upstream and how long it took.
func waitServed(t *testing.T, host *loopback.Host, key, not string) (string, time.Duration) {
	t.Helper()
	start := time.Now()
	for time.Since(start) < 10*time.Second {
		r := call(t, http.MethodGet, host.URL+"/routeboard/"+key, "")
		if r.status == http.StatusOK && r.body.Upstream != not {
			return r.body.Upstream, time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("key %s not served by anyone but %q within 10s", key, not)
	return "", 0
}

// lastResponseFrom reads key through host for the duration d and returns how
// long after start the named upstream last answered (0 if never).
func lastResponseFrom(t *testing.T, host *loopback.Host, key, upstream string, start time.Time, d time.Duration) time.Duration {
	t.Helper()
	var last time.Duration
	for time.Since(start) < d {
		r := call(t, http.MethodGet, host.URL+"/routeboard/"+key, "")
		if r.status == http.StatusOK && r.body.Upstream == upstream {
			last = time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return last
}

// The caller's key is served by its owner; the owner is killed; for a few
// hundred milliseconds the caller gets OWNER_UNREACHABLE or HANDOVER, each
// at once with Retry-After; then a new owner serves the key. The entry host
// finds the death by probes and moves the shard after one grant lease.
func TestKeyIsServedAfterOwnerIsKilled(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	f.Targets[owner].Kill()
	next, took := waitServed(t, h, testKey, owner)
	t.Logf("served again by %s after %v", next, took)
	if took > 3*time.Second {
		t.Fatalf("served again after %v; want under 3s", took)
	}
}

// A refused request gets its final answer at once, not at its deadline:
// the caller sets a 2 s timeout, the owner has just died, and the refusal
// (with Retry-After) must arrive far sooner than the 2 s.
func TestRefusalIsImmediate(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	f.Targets[owner].Kill()
	start := time.Now()
	r := call(t, http.MethodGet, h.URL+"/routeboard/"+testKey, "")
	took := time.Since(start)
	if r.status == http.StatusOK {
		t.Fatalf("served by dead owner? %+v", r.body)
	}
	if r.header.Get("Retry-After") == "" || took > 500*time.Millisecond {
		t.Fatalf("refusal %s took %v with Retry-After %q; want at once with Retry-After", r.refusal.Code, took, r.header.Get("Retry-After"))
	}
}

// The owner freezes holding a grant; its keys move to a new owner after the
// lease; when the old owner thaws it still believes it owns the shard. A
// request carrying the old fencing token (as a stale router would send) is
// refused as not run, because the grant lapsed while it was frozen.
func TestPausedOwnerIsFencedOnResume(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	old := f.Targets[owner]
	old.Server.Pause()
	waitServed(t, h, testKey, owner)
	old.Server.Resume()

	shard := placement.ShardOf("routeboard", testKey, manifest.DefaultShards)
	req, _ := http.NewRequest(http.MethodPost, "http://"+old.Upstream.Addr+target.PathWork+"routeboard/"+testKey, nil)
	req.Header.Set(target.HeaderShard, strconv.Itoa(shard))
	req.Header.Set(target.HeaderFencingToken, "1")
	req.Header.Set(target.HeaderIdempotencyKey, "stale-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusConflict || resp.Header.Get(target.HeaderNotRun) != "1" {
		t.Fatalf("thawed old owner answered %d (not-run %q); want 409 not run", resp.StatusCode, resp.Header.Get(target.HeaderNotRun))
	}
	if n := old.Server.Executed("routeboard", testKey); n != 0 {
		t.Fatalf("old owner ran %d operations on the key", n)
	}
}

// Targets that do not check fencing tokens: the owner freezes, its keys
// move, it thaws. Every caller's write through every entry host then runs
// on the new owner only; the router alone keeps the old one from work.
func TestResumedOwnerWithoutFencingGetsNoWork(t *testing.T) {
	f := startFleet(t, []string{"bangna", "latphrao"}, false, 1)
	owner, _ := waitServed(t, f.Hosts[0], testKey, "")
	old := f.Targets[owner]
	old.Server.Pause()
	next, _ := waitServed(t, f.Hosts[0], testKey, owner)
	old.Server.Resume()
	for i := 0; i < 20; i++ {
		h := f.Hosts[i%len(f.Hosts)]
		r := call(t, http.MethodPost, h.URL+"/routeboard/"+testKey, "op-"+strconv.Itoa(i))
		if r.status == http.StatusOK && r.body.Upstream != next {
			t.Fatalf("write %d served by %s, want %s", i, r.body.Upstream, next)
		}
	}
	if n := old.Server.Executed("routeboard", testKey); n != 0 {
		t.Fatalf("thawed old owner ran %d operations", n)
	}
}

// One charge, sent through every data centre's entry host with the same
// idempotency key, runs once on the owner; the later answers are replays.
func TestNonIdempotentRunsOnce(t *testing.T) {
	f := startFleet(t, []string{"bangna", "latphrao", "nonthaburi"}, true, 1)
	owner, _ := waitServed(t, f.Hosts[0], testKey, "")
	for _, h := range f.Hosts {
		if r := call(t, http.MethodPost, h.URL+"/routeboard/"+testKey, "charge-7"); r.status != http.StatusOK {
			t.Fatalf("charge via %s: %d %+v", h.Name, r.status, r.refusal)
		}
	}
	if n := f.Targets[owner].Server.Executed("routeboard", testKey); n != 1 {
		t.Fatalf("charge ran %d times; want once", n)
	}
}

// The log service goes down. Reads keep being served from the last view
// (a cut-off data centre serves what it can); after the view lease a write
// is refused at once as not run with Retry-After, and nothing ran.
func TestLogOutageServesReadsAndRefusesWrites(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	f.Log.SetFaults(logsvc.Faults{Outage: true})
	time.Sleep(loopback.DefaultSettings().MaxViewAge + 200*time.Millisecond)
	if r := call(t, http.MethodGet, h.URL+"/routeboard/"+testKey, ""); r.status != http.StatusOK {
		t.Fatalf("read during log outage: %d %+v", r.status, r.refusal)
	}
	r := call(t, http.MethodPost, h.URL+"/routeboard/"+testKey, "w-1")
	if r.refusal.Code != refusal.StaleView || r.refusal.Outcome != refusal.NotRun || r.header.Get("Retry-After") == "" {
		t.Fatalf("write during outage: %d %+v", r.status, r.refusal)
	}
	if n := f.Targets[owner].Server.Executed("routeboard", testKey); n != 0 {
		t.Fatalf("refused write ran %d times", n)
	}
}

// Every append's answer is lost after the write took effect. An owner dies;
// entry hosts must still agree on one new placement (they find their own
// records by reading back) and the key is served again.
func TestPlacementConvergesWhenAppendAcksAreLost(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 2)
	owner, _ := waitServed(t, f.Hosts[0], testKey, "")
	f.Log.SetFaults(logsvc.Faults{LoseAckRate: 1})
	f.Targets[owner].Kill()
	a, _ := waitServed(t, f.Hosts[0], testKey, owner)
	b, _ := waitServed(t, f.Hosts[1], testKey, owner)
	if a != b {
		t.Fatalf("entry hosts disagree on the new owner: %s vs %s", a, b)
	}
}
