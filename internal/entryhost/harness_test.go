package entryhost

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/protocol"
	"github.com/papayatide/papayatide/internal/settings"
	"github.com/papayatide/papayatide/internal/standin/memstore"
	"github.com/papayatide/papayatide/internal/standin/pipenet"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

var testHeaders = protocol.Headers{RequestID: "X-Id", TimeoutMs: "X-Timeout-Ms", Signature: "X-Signature", ExpectedUpstream: "X-Expect",
	NotRun: "X-Not-Run", Key: "X-Key", RateLimit: "X-Limit", Leaving: "X-Leaving"}

// testFleet is a few entry hosts, a log and upstreams, on a network in memory and
// a clock of their own: what they do in which order, and within what time, does
// not depend on how busy the machine is.
type testFleet struct {
	t         *testing.T
	log       *memstore.Log
	net       *pipenet.Network
	http      *http.Client
	hosts     []*testHost
	mu        sync.Mutex
	upstreams map[string]*rangeowner.Upstream
	// crashes are the times at which upstreams were ended by a request.
	crashes []time.Time
	// grantTTL is how long hosts that are started grant keys for.
	grantTTL time.Duration
	// fatalDuration is how long a request runs before it ends its upstream, fatalRuns
	// when each that ran began.
	fatalDuration time.Duration
	fatalStarts   []time.Time
	// testEnded is closed at the test's end, later waits for what is due until then.
	testEnded  chan struct{}
	background sync.WaitGroup
}

type testHost struct {
	cfg  *settings.EntryHost
	http *http.Client
	// log is its way to the log service.
	log  *partitionedStore
	stop context.CancelFunc
	done chan error
}

// Bounds of the fleet's sheet.
const (
	slowStartFactor, slowStartSlack = 1.5, 8
	testEvacuationTimeout           = 5 * time.Second
)

// plainRoute leads to a service that is not divided by key.
const unkeyedRoute = "plain.example"

// decoder reads the test's records: JSON of the product's own types.
type decoder struct{}

func (decoder) Desired(key string, data []byte) (*desired.State, error) {
	if key != "state" {
		return nil, nil
	}
	version, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	route := func(host string, idempotent bool) *desired.Route {
		return &desired.Route{Name: host, Host: host, Prefix: "/", Idempotent: idempotent, Timeout: time.Second,
			LatencyObjective: 600 * time.Millisecond, MaxAttempts: 2, Shares: []desired.Share{{Service: "sheets", Weight: 1}}}
	}
	plain := route(unkeyedRoute, true)
	plain.Shares = []desired.Share{{Service: "plain", Weight: 1}}
	slow := desired.SlowStart{Duration: 3 * time.Second, PerSecond: 4}
	return desired.New(version, []*desired.Route{route("read.example", true), route("charge.example", false), plain},
		map[string]*desired.Service{"sheets": {Name: "sheets", Keyed: true, SlowStart: slow}, "plain": {Name: "plain", SlowStart: slow}},
		desired.Limits{}), nil
}

func (decoder) EvacuatedDataCentre(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}

func (decoder) Upstream(_ string, data []byte, _ time.Time) (*catalogue.Upstream, error) {
	var u catalogue.Upstream
	return &u, json.Unmarshal(data, &u)
}

// directGranter reaches the stand-ins without a network.
type directGranter struct{ f *testFleet }

func (g directGranter) upstreamAt(addr string) *rangeowner.Upstream {
	g.f.mu.Lock()
	defer g.f.mu.Unlock()
	return g.f.upstreams[addr]
}

func (g directGranter) Grant(_ context.Context, addr string, r ownership.Range, d time.Duration, _ bool) error {
	if u := g.upstreamAt(addr); u != nil {
		return u.Grant(r, d)
	}
	return ownership.ErrNotSent
}

func (g directGranter) Release(_ context.Context, addr string, r ownership.Range) (string, error) {
	if u := g.upstreamAt(addr); u != nil {
		return u.Release(r), nil
	}
	return "", ownership.ErrNotSent
}

// runFleetTest runs a test of a fleet on a clock of its own.
func runFleetTest(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, test)
}

// fleetClock is the fleet's clock.
func fleetClock() bootclock.Time { return bootclock.Time(time.Now().UnixNano()) }

func newFleet(t *testing.T, hosts, upstreams int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, log: memstore.New(), net: pipenet.New(), upstreams: map[string]*rangeowner.Upstream{}, grantTTL: time.Second, testEnded: make(chan struct{})}
	f.http = &http.Client{Transport: &http.Transport{DialContext: f.net.Dial}}
	f.log.Put(metastore.StreamDesired, "state", []byte("1"))
	for i := range upstreams {
		f.addUpstream(fmt.Sprint("u", i))
	}
	t.Cleanup(f.stopAll)
	for i := range hosts {
		f.startHost(fmt.Sprint("host", i))
	}
	return f
}

// stopAll stops everything.
func (f *testFleet) stopAll() {
	close(f.testEnded)
	f.background.Wait()
	f.mu.Lock()
	for _, u := range f.upstreams {
		u.Kill()
	}
	f.mu.Unlock()
	f.stopHosts()
	f.http.CloseIdleConnections()
}

// stopHosts stops every host and waits for them.
func (f *testFleet) stopHosts() {
	for _, h := range f.hosts {
		h.stop()
	}
	for _, h := range f.hosts {
		select {
		case err := <-h.done:
			if err != nil {
				f.t.Errorf("%s ended with %v", h.cfg.Host, err)
			}
		case <-time.After(10 * time.Second):
			f.t.Errorf("%s does not stop", h.cfg.Host)
		}
	}
	f.hosts = nil
}

func (f *testFleet) addUpstream(id string) *rangeowner.Upstream {
	return f.addServiceUpstream("sheets", id)
}

// addServiceUpstream starts an upstream of a service, which a request to fatalPath ends.
func (f *testFleet) addServiceUpstream(service, id string) *rangeowner.Upstream {
	u := f.startUpstream(service, id)
	if u != nil {
		f.registerAs(service, u, false)
	}
	return u
}

// startUpstream starts an upstream of a service that is not listed yet.
func (f *testFleet) startUpstream(service, id string) *rangeowner.Upstream {
	ln, err := f.net.Listen(id + ":80")
	if err != nil {
		f.t.Error(err)
		return nil
	}
	u := rangeowner.StartOn(ln, id, testHeaders, 20*time.Millisecond)
	u.CrashOn = func(r *http.Request) bool {
		if r.URL.Path != fatalPath {
			return false
		}
		f.mu.Lock()
		f.fatalStarts = append(f.fatalStarts, time.Now())
		takes := f.fatalDuration
		f.mu.Unlock()
		time.Sleep(takes)
		f.crash(service, u)
		return true
	}
	f.mu.Lock()
	f.upstreams[u.Addr()] = u
	f.mu.Unlock()
	return u
}

const (
	// fatalPath is the target of the request that ends its servers.
	fatalPath = "/fatal"
	// entryExpiryDelay is how long after its end an upstream's entry goes, returns how
	// long after it the server is back, with a new ID.
	entryExpiryDelay = 500 * time.Millisecond
	restartDelay     = time.Second
)

// crash ends an upstream, whose server is back some time later.
func (f *testFleet) crash(service string, u *rangeowner.Upstream) {
	f.mu.Lock()
	ended := f.upstreams[u.Addr()] != u
	f.mu.Unlock()
	if ended {
		return // under another request
	}
	f.killUpstream(u)
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	n := len(f.crashes)
	f.mu.Unlock()
	f.background.Go(func() {
		if f.sleep(entryExpiryDelay) {
			f.log.Put(metastore.StreamUpstreams, u.ID, nil)
		}
		if f.sleep(restartDelay - entryExpiryDelay) {
			f.addServiceUpstream(service, fmt.Sprint(service, "-again-", n))
		}
	})
}

// sleep reports false if the test ended meanwhile.
func (f *testFleet) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.testEnded:
		return false
	}
}

func (f *testFleet) register(u *rangeowner.Upstream, leaving bool) {
	f.registerAs("sheets", u, leaving)
}

func (f *testFleet) registerAs(service string, u *rangeowner.Upstream, leaving bool) {
	f.putEntry(u, catalogue.Upstream{Service: service, DataCentre: "dc", Slots: 3, Leaving: leaving})
}

// putEntry writes an upstream's entry.
func (f *testFleet) putEntry(u *rangeowner.Upstream, entry catalogue.Upstream) {
	entry.ID, entry.Addr = u.ID, u.Addr()
	data, err := json.Marshal(entry)
	if err != nil {
		f.t.Error(err)
		return
	}
	f.log.Put(metastore.StreamUpstreams, u.ID, data)
}

// killUpstream makes an upstream unreachable for orders and requests.
func (f *testFleet) killUpstream(u *rangeowner.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.upstreams, u.Addr())
	u.Kill()
}

// weakCPU is the processor share of a host that is too weak to plan or relay.
const nonCandidateCPU = candidateMinCPU / 2

func (f *testFleet) startHost(name string) *testHost { return f.startHostWithCPU(name, 1) }

// startHostWithCPU starts a host with so much of a core.
func (f *testFleet) startHostWithCPU(name string, cpu float64) *testHost {
	cfg := &settings.EntryHost{Host: name, DataCentre: "dc", Listen: name + ".front:80", ReadyListen: name + ".ready:80", PeerListen: name + ".peer:80",
		MetricsListen: name + ".metrics:80", LogLevel: "info", MemoryMB: 284, CPUShare: cpu, LinkMbps: 1000, MinLeaseTTL: 300 * time.Millisecond, MaxGrantTTL: 10 * time.Second,
		ShutdownGrace: 6 * time.Second, RetryBudgetRatio: 0.5, RetryBudgetSlack: 500, RetryBudgetWindow: 10 * time.Second,
		SlowStartFactor: slowStartFactor, SlowStartSlack: slowStartSlack, EvacuationTimeout: testEvacuationTimeout, DrainTimeout: rangeowner.DrainGrace, GrantTTL: f.grantTTL, MaxViewAge: 2 * time.Second}
	ctx, stop := context.WithCancel(context.Background())
	h := &testHost{cfg: cfg, http: f.http, log: &partitionedStore{Log: f.log}, stop: stop, done: make(chan error, 1)}
	plat := Platform{Store: h.log, Decoder: decoder{}, Granter: directGranter{f}, Headers: testHeaders, ReadyPath: "/ready", LogDropped: func() int64 { return 0 },
		Net: f.net, Clock: fleetClock}
	go func() { h.done <- Run(ctx, cfg, plat, nil, zap.NewNop()) }()
	f.hosts = append(f.hosts, h)
	return h
}

// isolateHost ends a host as far as all others can tell: nobody reaches it, and it
// reaches no log service.
func (f *testFleet) isolateHost(h *testHost) {
	h.log.partitioned.Store(true)
	for _, addr := range []string{h.cfg.Listen, h.cfg.ReadyListen, h.cfg.PeerListen, h.cfg.MetricsListen} {
		f.net.Kill(addr)
	}
}

func (h *testHost) ready() bool {
	resp, err := h.http.Get("http://" + h.cfg.ReadyListen + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends one request and returns the status and the body.
func (h *testHost) call(method, host, id string, key int) (int, string) {
	return h.callPath(method, host, "/x", id, key)
}

func (h *testHost) callPath(method, host, path, id string, key int) (int, string) {
	req, err := http.NewRequest(method, "http://"+h.cfg.Listen+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("X-Id", id)
	if host != unkeyedRoute {
		req.Header.Set("X-Key", strconv.Itoa(key))
	}
	req.Header.Set("X-Timeout-Ms", "2000")
	resp, err := h.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// waitServed waits until every tenth of the keys is served by the host, and
// returns how long that took.
func (f *testFleet) waitServed(h *testHost, within time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for k := 0; k < 10; {
		status, body := h.call("GET", "read.example", fmt.Sprint("probe-", time.Now().UnixNano()), k*6553)
		if status == http.StatusOK {
			k++
			continue
		}
		if time.Since(start) > within {
			f.t.Fatalf("key %d is not served after %v: %d %s", k*6553, time.Since(start), status, body)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}
