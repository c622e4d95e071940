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
	standin "github.com/papayatide/papayatide/internal/standin/target"
	"github.com/papayatide/papayatide/internal/target"
)

const testKey = "job-42"

// startFleet starts a fleet with one service, routeboard, that has four
// upstreams per data centre. checked makes the targets check fencing tokens.
func startFleet(t *testing.T, dcs []string, checked bool, hostsPerDC int) *loopback.Fleet {
	t.Helper()
	return startFleetFromSpec(t, loopback.Spec{DataCentres: dcs, Slots: 3, HostsPerDC: hostsPerDC,
		Services: []manifest.ServiceSpec{{Name: "routeboard", Upstreams: 4 * len(dcs), FencingChecked: checked}},
		Settings: loopback.DefaultSettings(), Target: standin.Options{WorkTime: time.Millisecond}})
}

// startFleetFromSpec starts a fleet, publishes its manifest and waits until every
// entry host serves every service. It closes the fleet when tb ends.
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

// callResult is a response to call. body is set if status is 200, else refusal.
type callResult struct {
	status  int
	header  http.Header
	body    standin.Answer
	refusal refusal.Refusal
}

// call sends a request without a body to url, with idemKey as idempotency key
// unless it is empty.
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

// waitServed polls host until an upstream other than excluded serves key. It
// returns that upstream and how long it took.
func waitServed(t *testing.T, host *loopback.Host, key, excluded string) (string, time.Duration) {
	t.Helper()
	start := time.Now()
	for time.Since(start) < 10*time.Second {
		r := call(t, http.MethodGet, host.URL+"/routeboard/"+key, "")
		if r.status == http.StatusOK && r.body.Upstream != excluded {
			return r.body.Upstream, time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("key %s not served by an upstream other than %q within 10s", key, excluded)
	return "", 0
}

// lastResponseFrom reads key through host until d after start. It returns how long
// after start upstream last responded, 0 if it never did.
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

// The owner of a key is killed. The entry host detects this by health probes and
// moves the shard after one grant TTL. Callers get OWNER_UNREACHABLE or HANDOVER
// with Retry-After for some hundred milliseconds, then a new owner serves the key.
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

// The owner has just been killed. A caller must be refused with Retry-After
// immediately rather than at its 2 s deadline.
func TestRefusalIsImmediate(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	f.Targets[owner].Kill()
	start := time.Now()
	r := call(t, http.MethodGet, h.URL+"/routeboard/"+testKey, "")
	took := time.Since(start)
	if r.status == http.StatusOK {
		t.Fatalf("the killed owner served the request: %+v", r.body)
	}
	if r.header.Get("Retry-After") == "" || took > 500*time.Millisecond {
		t.Fatalf("refusal %s took %v with Retry-After %q; want immediately, with Retry-After", r.refusal.Code, took, r.header.Get("Retry-After"))
	}
}

// The owner is paused while it has a grant, and its keys move to a new owner after
// the grant TTL. When it resumes, its state still shows it as the owner. A router
// with an old view sends it a request with the old fencing token. It must refuse the
// request without running it, because its grant expired during the pause.
func TestPausedOwnerIsFencedOnResume(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	oldOwner := f.Targets[owner]
	oldOwner.Server.Pause()
	waitServed(t, h, testKey, owner)
	oldOwner.Server.Resume()

	shard := placement.ShardOf("routeboard", testKey, manifest.DefaultShards)
	req, _ := http.NewRequest(http.MethodPost, "http://"+oldOwner.Upstream.Addr+target.PathWork+"routeboard/"+testKey, nil)
	req.Header.Set(target.HeaderShard, strconv.Itoa(shard))
	req.Header.Set(target.HeaderFencingToken, "1")
	req.Header.Set(target.HeaderIdempotencyKey, "stale-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusConflict || resp.Header.Get(target.HeaderNotRun) != "1" {
		t.Fatalf("resumed old owner responded %d (not-run header %q); want 409 and 1", resp.StatusCode, resp.Header.Get(target.HeaderNotRun))
	}
	if n := oldOwner.Server.RunsOnKey("routeboard", testKey); n != 0 {
		t.Fatalf("old owner ran %d operations on the key", n)
	}
}

// Targets do not check fencing tokens. The owner is paused, its keys move, and it
// resumes. Writes through every entry host must run on the new owner only: only
// the router can prevent requests from reaching the old owner.
func TestResumedOwnerWithoutFencingGetsNoWork(t *testing.T) {
	f := startFleet(t, []string{"bangna", "latphrao"}, false, 1)
	owner, _ := waitServed(t, f.Hosts[0], testKey, "")
	oldOwner := f.Targets[owner]
	oldOwner.Server.Pause()
	next, _ := waitServed(t, f.Hosts[0], testKey, owner)
	oldOwner.Server.Resume()
	for i := 0; i < 20; i++ {
		h := f.Hosts[i%len(f.Hosts)]
		r := call(t, http.MethodPost, h.URL+"/routeboard/"+testKey, "op-"+strconv.Itoa(i))
		if r.status == http.StatusOK && r.body.Upstream != next {
			t.Fatalf("write %d served by %s, want %s", i, r.body.Upstream, next)
		}
	}
	if n := oldOwner.Server.RunsOnKey("routeboard", testKey); n != 0 {
		t.Fatalf("resumed old owner ran %d operations", n)
	}
}

// A write is sent with the same idempotency key through the entry hosts of all
// data centres. The owner must run it once and replay the response afterwards.
func TestWriteWithSameIdempotencyKeyRunsOnce(t *testing.T) {
	f := startFleet(t, []string{"bangna", "latphrao", "nonthaburi"}, true, 1)
	owner, _ := waitServed(t, f.Hosts[0], testKey, "")
	for _, h := range f.Hosts {
		if r := call(t, http.MethodPost, h.URL+"/routeboard/"+testKey, "charge-7"); r.status != http.StatusOK {
			t.Fatalf("write via %s: status %d, refusal %+v", h.Name, r.status, r.refusal)
		}
	}
	if n := f.Targets[owner].Server.RunsOnKey("routeboard", testKey); n != 1 {
		t.Fatalf("write ran %d times; want once", n)
	}
}

// The log service fails. Reads must still be served from the last view, so that a
// data centre that is cut off serves what it can. Once the view is older than
// MaxViewAge, a write must be refused with outcome not_run and Retry-After, and no
// target may run it.
func TestLogServiceOutageServesReadsAndRefusesWrites(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	f.Log.SetFaults(logsvc.Faults{Outage: true})
	time.Sleep(loopback.DefaultSettings().MaxViewAge + 200*time.Millisecond)
	if r := call(t, http.MethodGet, h.URL+"/routeboard/"+testKey, ""); r.status != http.StatusOK {
		t.Fatalf("read during log-service outage: status %d, refusal %+v", r.status, r.refusal)
	}
	r := call(t, http.MethodPost, h.URL+"/routeboard/"+testKey, "w-1")
	if r.refusal.Code != refusal.StaleView || r.refusal.Outcome != refusal.NotRun || r.header.Get("Retry-After") == "" {
		t.Fatalf("write during log-service outage: status %d, refusal %+v", r.status, r.refusal)
	}
	if n := f.Targets[owner].Server.RunsOnKey("routeboard", testKey); n != 0 {
		t.Fatalf("refused write ran %d times", n)
	}
}

// The response to every append is lost after the write took effect, and an owner is
// killed. Entry hosts find their own records by reading the log back, so they must
// still agree on one new placement and serve the key again.
func TestPlacementConvergesWhenAppendAcksAreLost(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 2)
	owner, _ := waitServed(t, f.Hosts[0], testKey, "")
	f.Log.SetFaults(logsvc.Faults{LoseAckRate: 1})
	f.Targets[owner].Kill()
	ownerViaHost0, _ := waitServed(t, f.Hosts[0], testKey, owner)
	ownerViaHost1, _ := waitServed(t, f.Hosts[1], testKey, owner)
	if ownerViaHost0 != ownerViaHost1 {
		t.Fatalf("entry hosts disagree on the new owner: %s and %s", ownerViaHost0, ownerViaHost1)
	}
}
