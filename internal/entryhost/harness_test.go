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

// testFleet runs entry hosts, a log service and upstreams on an in-memory network
// and a synthetic clock, so that order and timing don't depend on the machine's
// load.
type testFleet struct {
	t         *testing.T
	log       *memstore.Log
	net       *pipenet.Network
	http      *http.Client
	hosts     []*testHost
	mu        sync.Mutex
	upstreams map[string]*rangeowner.Upstream
	// crashes holds the times at which requests crashed upstreams.
	crashes []time.Time
	// grantTTL is the grant TTL of the hosts that are started from now on.
	grantTTL time.Duration
	// grants are the grants that upstreams have accepted.
	grants []acceptedGrant
	// fatalDuration is how long a fatal request runs before it crashes its upstream.
	// fatalStarts holds when each of these requests began to run.
	fatalDuration time.Duration
	fatalStarts   []time.Time
	// testEnded is closed when the test ends. background waits for the goroutines
	// that stop then.
	testEnded  chan struct{}
	background sync.WaitGroup
}

type testHost struct {
	cfg  *settings.EntryHost
	http *http.Client
	// log is this host's connection to the log service.
	log  *partitionedStore
	stop context.CancelFunc
	done chan error
}

// Settings of the test hosts that tests use as bounds.
const (
	slowStartFactor, slowStartSlack = 1.5, 8
	testEvacuationTimeout           = 5 * time.Second
	testMaxRenewalAge               = 2 * time.Second
)

// urgentRoute and relaxedRoute are the routes of the competing service.
const urgentRoute, relaxedRoute = "urgent.example", "relaxed.example"

// unkeyedRoute is the route to the service whose requests have no key.
const unkeyedRoute = "plain.example"

// decoder decodes the test's records. An upstream's entry is a catalogue.Upstream
// in JSON. The desired state's record is its version, and padding after a space: routes and
// services are fixed, except that with the padding "competing" there is a less urgent route to the
// keyed service, browse.example.
type decoder struct{}

func (decoder) Desired(key string, data []byte) (*desired.State, error) {
	if key != "state" {
		return nil, nil
	}
	text, rest, _ := strings.Cut(string(data), " ")
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, err
	}
	route := func(host string, idempotent bool) *desired.Route {
		return &desired.Route{Name: host, Host: host, Prefix: "/", Idempotent: idempotent, Timeout: time.Second,
			LatencyObjective: 600 * time.Millisecond, MaxAttempts: 2, Shares: []desired.Share{{Service: "sheets", Weight: 1}}}
	}
	plain := route(unkeyedRoute, true)
	plain.Shares = []desired.Share{{Service: "plain", Weight: 1}}
	urgent, relaxed := route(urgentRoute, false), route(relaxedRoute, true)
	urgent.Shares = []desired.Share{{Service: "contended", Weight: 1}}
	relaxed.Shares, relaxed.Priority = urgent.Shares, 1
	slow := desired.SlowStart{Duration: 3 * time.Second, PerSecond: 4}
	routes := []*desired.Route{route("read.example", true), route("charge.example", false), plain, urgent, relaxed}
	if rest == "competing" {
		browse := route("browse.example", true)
		browse.Priority = 2
		routes = append(routes, browse)
	}
	return desired.New(version, routes,
		map[string]*desired.Service{"sheets": {Name: "sheets", Keyed: true, SlowStart: slow}, "plain": {Name: "plain", SlowStart: slow}, "contended": {Name: "contended"}},
		desired.Limits{}), nil
}

func (decoder) EvacuatedDataCentre(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}

func (decoder) Upstream(_ string, data []byte, _ time.Time) (*catalogue.Upstream, error) {
	var u catalogue.Upstream
	return &u, json.Unmarshal(data, &u)
}

// directGranter calls the upstreams of the test directly, without the network.
type directGranter struct{ f *testFleet }

// upstreamAt returns the running upstream at addr (host:port), or nil.
func (g directGranter) upstreamAt(addr string) *rangeowner.Upstream {
	g.f.mu.Lock()
	defer g.f.mu.Unlock()
	return g.f.upstreams[addr]
}

func (g directGranter) Grant(_ context.Context, addr string, r ownership.Range, d time.Duration, _ bool) error {
	u := g.upstreamAt(addr)
	if u == nil {
		return ownership.ErrNotSent
	}
	err := u.Grant(r, d)
	if err == nil {
		g.f.auditGrant(acceptedGrant{r, u})
	}
	return err
}

func (g directGranter) Release(_ context.Context, addr string, r ownership.Range) (string, error) {
	if u := g.upstreamAt(addr); u != nil {
		return u.Release(r), nil
	}
	return "", ownership.ErrNotSent
}

// runFleetTest runs test on a synthetic clock, in parallel with other tests.
func runFleetTest(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, test)
}

// fleetClock returns the time of the synthetic clock.
func fleetClock() bootclock.Time { return bootclock.Time(time.Now().UnixNano()) }

// newFleet starts hosts, and upstreams of the keyed service. They stop when the
// test ends.
func newFleet(t *testing.T, hosts, upstreams int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, log: memstore.New(), net: pipenet.New(), upstreams: map[string]*rangeowner.Upstream{}, grantTTL: time.Second, testEnded: make(chan struct{})}
	f.http = &http.Client{Transport: &http.Transport{DialContext: f.net.Dial}}
	f.log.Put(metastore.StreamOperators, "state", []byte("1"))
	for i := range upstreams {
		f.addUpstream(fmt.Sprint("u", i))
	}
	t.Cleanup(f.stopAll)
	for i := range hosts {
		f.startHost(fmt.Sprint("host", i))
	}
	return f
}

// stopAll kills the upstreams and stops the hosts.
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

// stopHosts stops all hosts and waits until they have stopped.
func (f *testFleet) stopHosts() {
	for _, h := range f.hosts {
		h.stop()
	}
	for _, h := range f.hosts {
		select {
		case err := <-h.done:
			if err != nil {
				f.t.Errorf("%s stopped with error: %v", h.cfg.Host, err)
			}
		case <-time.After(10 * time.Second):
			f.t.Errorf("%s did not stop in time", h.cfg.Host)
		}
	}
	f.hosts = nil
}

// addUpstream adds an upstream of the keyed service.
func (f *testFleet) addUpstream(id string) *rangeowner.Upstream {
	return f.addServiceUpstream("sheets", id)
}

// addServiceUpstream starts an upstream of a service and writes its entry. A
// request to fatalPath crashes it.
func (f *testFleet) addServiceUpstream(service, id string) *rangeowner.Upstream {
	u := f.startUpstream(service, id)
	if u != nil {
		f.registerAs(service, u, false)
	}
	return u
}

// startUpstream starts an upstream of a service without writing its entry.
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
		duration := f.fatalDuration
		f.mu.Unlock()
		time.Sleep(duration)
		f.crash(service, u)
		return true
	}
	f.mu.Lock()
	f.upstreams[u.Addr()] = u
	f.mu.Unlock()
	return u
}

const (
	// fatalPath is the path of the request that crashes its servers.
	fatalPath = "/fatal"
	// entryExpiryDelay is the time from an upstream's crash until its entry is
	// deleted.
	entryExpiryDelay = 500 * time.Millisecond
	// restartDelay is the time from a crash until the server is back under a new ID.
	restartDelay = time.Second
)

// crash kills an upstream. Its entry is deleted after entryExpiryDelay, and its
// server is back under a new ID after restartDelay.
func (f *testFleet) crash(service string, u *rangeowner.Upstream) {
	f.mu.Lock()
	alreadyCrashed := f.upstreams[u.Addr()] != u
	f.mu.Unlock()
	if alreadyCrashed {
		return // another request has crashed it
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

// sleep waits for d. It returns false if the test ends first.
func (f *testFleet) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.testEnded:
		return false
	}
}

// register writes the entry of an upstream of the keyed service.
func (f *testFleet) register(u *rangeowner.Upstream, leaving bool) {
	f.registerAs("sheets", u, leaving)
}

// registerAs writes the entry of an upstream of the given service.
func (f *testFleet) registerAs(service string, u *rangeowner.Upstream, leaving bool) {
	f.putEntry(u, catalogue.Upstream{Service: service, DataCentre: "dc", Slots: 3, Leaving: leaving})
}

// putEntry writes an upstream's entry with its ID and address filled in.
func (f *testFleet) putEntry(u *rangeowner.Upstream, entry catalogue.Upstream) {
	entry.ID, entry.Addr = u.ID, u.Addr()
	data, err := json.Marshal(entry)
	if err != nil {
		f.t.Error(err)
		return
	}
	f.log.Put(metastore.StreamUpstreams, u.ID, data)
}

// killUpstream kills an upstream, which receives no grants and no requests any more.
func (f *testFleet) killUpstream(u *rangeowner.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.upstreams, u.Addr())
	u.Kill()
}

// nonCandidateCPU is the number of CPU cores of a host that is no candidate.
const nonCandidateCPU = candidateMinCPU / 2

// startHost starts a host that is a candidate.
func (f *testFleet) startHost(name string) *testHost { return f.startHostWithCPU(name, 1) }

// startHostWithCPU starts a host with the given number of CPU cores.
func (f *testFleet) startHostWithCPU(name string, cores float64) *testHost {
	return f.startHostOn(name, cores, f.net, nil)
}

// startHostOn starts a host on the given network. It calls the log service through store,
// or directly if store is nil.
func (f *testFleet) startHostOn(name string, cores float64, network Network, store metastore.Store) *testHost {
	cfg := &settings.EntryHost{Host: name, DataCentre: "dc", Listen: name + ".front:80", ReadyListen: name + ".ready:80", PeerListen: name + ".peer:80",
		MetricsListen: name + ".metrics:80", LogLevel: "info", MemoryMB: 284, CPUCores: cores, LinkMbps: 1000, MinLeaseTTL: 300 * time.Millisecond, MaxGrantTTL: 10 * time.Second,
		ShutdownGrace: 6 * time.Second, RetryBudgetRatio: 0.5, RetryBudgetSlack: 500, RetryBudgetWindow: 10 * time.Second,
		SlowStartFactor: slowStartFactor, SlowStartSlack: slowStartSlack, EvacuationTimeout: testEvacuationTimeout, DrainTimeout: rangeowner.DrainGrace, GrantTTL: f.grantTTL, MaxRenewalAge: testMaxRenewalAge}
	ctx, stop := context.WithCancel(context.Background())
	h := &testHost{cfg: cfg, http: f.http, log: &partitionedStore{Log: f.log}, stop: stop, done: make(chan error, 1)}
	if store == nil {
		store = h.log
	}
	plat := Platform{Store: store, Decoder: decoder{}, Granter: directGranter{f}, Headers: testHeaders, ReadyPath: "/ready", DroppedLogLines: func() int64 { return 0 },
		Net: network, Clock: fleetClock}
	go func() { h.done <- Run(ctx, cfg, plat, nil, zap.NewNop()) }()
	f.hosts = append(f.hosts, h)
	return h
}

// isolateHost disconnects a host from callers, the other hosts and the log service.
// To them it then looks as if it had crashed.
func (f *testFleet) isolateHost(h *testHost) {
	h.log.partitioned.Store(true)
	for _, addr := range []string{h.cfg.Listen, h.cfg.ReadyListen, h.cfg.PeerListen, h.cfg.MetricsListen} {
		f.net.Disconnect(addr)
	}
}

// ready reports whether the host responds to its readiness probe with 200.
func (h *testHost) ready() bool {
	resp, err := h.http.Get("http://" + h.cfg.ReadyListen + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends a request with the given route as its Host and path /x. It returns the
// status and body of the response, or 0 and the error if there is none.
func (h *testHost) call(method, route, id string, key int) (int, string) {
	return h.callPath(method, route, "/x", id, key)
}

// callPath is call with another path. A negative key is not sent.
func (h *testHost) callPath(method, route, path, id string, key int) (int, string) {
	req, err := http.NewRequest(method, "http://"+h.cfg.Listen+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = route
	req.Header.Set("X-Id", id)
	if route != unkeyedRoute && key >= 0 {
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

// waitServed waits until the host serves ten keys that are spread evenly over all
// keys, and returns how long that took.
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
