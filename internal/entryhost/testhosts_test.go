package entryhost

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/settings"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

// Settings of the test hosts that tests use as bounds.
const (
	slowStartFactor, slowStartSlack = 1.5, 8
	testEvacuationTimeout           = 5 * time.Second
	testMaxRenewalAge               = 2 * time.Second
)

type testHost struct {
	cfg  *settings.EntryHost
	http *http.Client
	// log is this host's connection to the log service.
	log  *partitionedStore
	stop context.CancelFunc
	done chan error
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
	return f.startHostOver(name, cores, network, store, directGranter{f})
}

// startHostOver is startHostOn with the granter through which the host calls upstreams.
func (f *testFleet) startHostOver(name string, cores float64, network Network, store metastore.Store, granter Granter) *testHost {
	cfg := &settings.EntryHost{Host: name, DataCentre: "dc", Listen: name + ".front:80", ReadyListen: name + ".ready:80", PeerListen: name + ".peer:80",
		MetricsListen: name + ".metrics:80", LogLevel: "info", MemoryMB: 284, CPUCores: cores, LinkMbps: 1000, MinLeaseTTL: 300 * time.Millisecond, MaxGrantTTL: 10 * time.Second,
		ShutdownGrace: 6 * time.Second, RetryBudgetRatio: 0.5, RetryBudgetSlack: 500, RetryBudgetWindow: 10 * time.Second,
		SlowStartFactor: slowStartFactor, SlowStartSlack: slowStartSlack, EvacuationTimeout: testEvacuationTimeout, DrainTimeout: rangeowner.DrainGrace, GrantTTL: f.grantTTL, MaxRenewalAge: testMaxRenewalAge}
	ctx, stop := context.WithCancel(context.Background())
	h := &testHost{cfg: cfg, http: f.http, log: &partitionedStore{Log: f.log}, stop: stop, done: make(chan error, 1)}
	if store == nil {
		store = h.log
	}
	plat := Platform{Store: store, Decoder: decoder{}, Granter: granter, Headers: testHeaders, ReadyPath: "/ready", DroppedLogLines: func() int64 { return 0 },
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
