package entryhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/bodybudget"
	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/budget"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/httpclient"
	"github.com/papayatide/papayatide/internal/ingress"
	"github.com/papayatide/papayatide/internal/lingering"
	"github.com/papayatide/papayatide/internal/memlimit"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/pipeline"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/progress"
	"github.com/papayatide/papayatide/internal/protocol"
	"github.com/papayatide/papayatide/internal/ratelimit"
	"github.com/papayatide/papayatide/internal/settings"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
)

// Platform holds the platform adapters that an entry host depends on.
type Platform struct {
	// Store is the client of the log service.
	Store     metastore.Store
	Decoder   Decoder
	Granter   Granter
	Headers   protocol.Headers
	ReadyPath string
	// DroppedLogLines returns how many log lines have been dropped since the start.
	DroppedLogLines func() int64
	// Net opens the host's sockets and Clock times its planner lease and grants. If
	// nil, the kernel's are used. Fleet tests supply their own, so that order and
	// outcome don't depend on the machine's load.
	Net   Network
	Clock bootclock.Clock
}

// Network opens sockets.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// listenOn opens a TCP listener at addr (host:port).
func (p *Platform) listenOn(addr string) (net.Listener, error) {
	if p.Net != nil {
		return p.Net.Listen(addr)
	}
	return net.Listen("tcp4", addr)
}

// peerTransport returns the HTTP transport for calls to other entry hosts.
func (p *Platform) peerTransport() *http.Transport {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdlePeerConns}
	if p.Net != nil {
		t.DialContext = p.Net.Dial
	}
	return t
}

const (
	// maxIdlePeerConns is how many idle connections to another host are kept. A planner that is cut
	// off has a hundred grants a second sent by a few hosts.
	maxIdlePeerConns = 16
	// readinessPropagationDelay is how long a stopping host keeps accepting
	// connections after it starts to report unready: the platform probes once a
	// second and removes a host after two failed probes.
	readinessPropagationDelay = 2300 * time.Millisecond
	// shutdownMargin is the part of the grace period reserved for the process to
	// exit, responseWriteMargin the part before that for writing the last
	// responses.
	shutdownMargin      = 400 * time.Millisecond
	responseWriteMargin = 300 * time.Millisecond
	housekeepInterval   = time.Second
	// minAssumedHosts is the smallest fleet size that the fixed part of the retry
	// budget (Slack) is divided by, also while the fleet size is still unknown.
	minAssumedHosts = 16
)

type host struct {
	cfg        *settings.EntryHost
	zl         *zap.Logger
	views      *view.Publisher
	controller *controller
	dispatch   *dispatch.Dispatcher
	client     *upstream.Client
	picker     *balance.Picker
	budget     *budget.Budget
	feedback   *feedback.Tracker
	// allocator divides upstreams' rate limits among the hosts while this host is
	// the planner.
	allocator *ratelimit.Allocator
	versions  *versionMonitor
	peers     *peer.Client
	logSyncer *logSyncer
	fleet     *fleet.Fleet
	// candidate is set if this host's CPU and link suffice for the planner; see
	// the package comment.
	candidate          bool
	loadSampler        *loadSampler
	inFlightAggregator *inFlightAggregator
	speeds             speedExchange
	shares             *serviceShares
	plat               Platform
	callerServer       *http.Server
	// limits bound what clients of the listeners make this host hold, heads the heads of their requests.
	limits ingress.Limits
	heads  *bodybudget.Budget
	// callerListener accepts the callers' connections.
	callerListener *lingering.Listener
	// pipeline runs callers' pipelined requests concurrently.
	pipeline *pipeline.Server
	stopping atomic.Bool
	inFlight atomic.Int64
	// forwarded counts those of them that other hosts have passed on.
	forwarded    atomic.Int64
	helpers      helperList
	refusedLines lineLimit
	// loggedDroppedLines is the number of dropped lines that logDroppedLines has
	// logged already.
	loggedDroppedLines int64
}

// Run serves until ctx ends or a component fails. The end of ctx starts a graceful
// shutdown: the host reports unready, serves until the platform routes no more
// callers to it, and returns once the requests in flight have their responses. Each
// value from reload replaces the settings that can change at run time.
func Run(ctx context.Context, cfg *settings.EntryHost, plat Platform, reload <-chan *settings.EntryHost, zl *zap.Logger) error {
	memlimit.Apply(cfg.MemoryMB)
	h := newHost(cfg, plat, zl)
	var g run.Group
	// workCtx outlives ctx: the host keeps working until the graceful shutdown is done.
	workCtx, cancel := context.WithCancel(context.Background())
	h.feedback.OnChange = func(c feedback.Change) { h.onUpstreamChange(workCtx, c) }
	g.Add(func() error { h.controller.run(workCtx); return nil }, func(error) { cancel() })
	g.Add(func() error { h.controller.crashes.run(workCtx); return nil }, func(error) { cancel() })
	h.logSyncer = h.newLogSyncer(workCtx)
	g.Add(func() error { h.logSyncer.run(workCtx); return nil }, func(error) { cancel() })
	g.Add(func() error { h.housekeep(workCtx, reload); return nil }, func(error) { cancel() })
	g.Add(func() error { h.checkIdleConnections(workCtx); return nil }, func(error) { cancel() })
	g.Add(func() error { ingress.Report(workCtx, zl); return nil }, func(error) { cancel() })
	g.Add(func() error { h.dispatch.Paths.Run(workCtx); return nil }, func(error) { cancel() })
	if err := h.listen(workCtx, &g); err != nil {
		cancel()
		return err
	}
	g.Add(func() error { return h.awaitStop(ctx, workCtx) }, func(error) { cancel() })
	zl.Info("started", zap.Int("event", events.EntryHostStarted), zap.String("host", cfg.Host), zap.String("data_centre", cfg.DataCentre),
		zap.Float64("cpu_share", cfg.CPUCores), zap.Float64("link_mbps", cfg.LinkMbps), zap.Bool("eager", h.candidate))
	err := g.Run()
	zl.Info("stopped", zap.Int("event", events.EntryHostStopped), ErrorField(err))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// newHost builds a host's components and connects them. It starts nothing.
func newHost(cfg *settings.EntryHost, plat Platform, zl *zap.Logger) *host {
	h := &host{cfg: cfg, zl: zl, views: view.NewPublisher(), client: upstream.NewClient(plat.Headers), picker: balance.NewPicker(cfg.Host),
		budget: budget.New(hostBudgetLimits(cfg, 1), time.Now()), loadSampler: newLoadSampler(), allocator: ratelimit.NewAllocator(), plat: plat, fleet: fleet.New(cfg.DataCentre),
		candidate: cfg.CPUCores >= candidateMinCPU && cfg.LinkMbps >= candidateMinLinkMbps,
		peers:     peer.NewClient(&http.Client{Transport: progress.Transport{Base: httpclient.New(plat.peerTransport()).Transport}})}
	h.limits = ingress.NewLimits(cfg.MemoryMB, ingress.Descriptors(cfg.Descriptors))
	h.heads = bodybudget.New(h.limits.HeadBytes)
	h.versions = &versionMonitor{zl: zl, inForce: h.desiredVersion}
	h.picker.OnSilent = (&limitedLogger{zl: zl}).onSilent
	h.picker.OnSilenceNotice = (&limitedLogger{zl: zl}).onSilenceNotice
	if plat.Net != nil {
		h.client.Dial = plat.Net.Dial
	}
	h.inFlightAggregator = newInFlightAggregator(cfg.Host, cfg.DataCentre, h.picker, func() *catalogue.Snapshot { return h.views.Load().Upstreams })
	h.shares = newServiceShares(cfg.Host, cfg.DataCentre, zl, func() *desired.State { return h.views.Load().Desired }, h.inFlightAggregator.room)
	h.controller = newController(zl, plat.Store, plat.Decoder, plat.Granter, h.views, planner.Options{Host: cfg.Host, PeerAddr: cfg.PeerListen,
		GrantTTL: cfg.GrantTTL, MaxRenewalAge: cfg.MaxRenewalAge, LeaseTTL: max(cfg.MinLeaseTTL, leaseTTL), Candidate: h.candidate},
		cfg.EvacuationTimeout)
	h.feedback, h.controller.drainTimeout = h.controller.feedback, cfg.DrainTimeout
	if plat.Clock != nil {
		h.controller.clock = plat.Clock
	}
	h.controller.crashes = newCrashLog(zl, plat.Store, h.controller.isPlanner.Load)
	h.controller.crashes.rewrites = h.candidate
	h.dispatch = dispatch.New(plat.Headers, cfg.DataCentre, h.views, h.client, h.picker, h.budget, h.controller.crashes.tracker, h.feedback,
		ratelimit.NewLimiter(reportedLimitBounds, h.requestPermits))
	h.dispatch.OnRequestDone, h.dispatch.OnBrokenSend = h.onRequestDone, h.onBrokenSend
	h.dispatch.OnLostConnections = (&limitedLogger{zl: zl}).onLostConnections
	h.dispatch.Reachability.OnChange = h.onReachabilityChange
	h.dispatch.Paths.OnChange = h.onPathChange
	h.dispatch.SetHelperClient(cfg.Host, plat.newHelperClient())
	h.controller.cutOff, h.controller.grantHelpers, h.controller.relayGrantTo = h.dispatch.Paths.CutOff, h.grantHelpers, h.peers.RelayGrant
	h.controller.onGrantFailed = func(ctx context.Context, owner string) { h.dispatch.Paths.Explains(ctx, owner, true) }
	h.inFlightAggregator.cutOff = h.dispatch.Paths.CutOff
	h.dispatch.Gate, h.dispatch.ExpectedWork = h.shares.gate, h.shares.gate.Work
	h.shares.promised, h.shares.onClassWork = h.dispatch.PromisedReturns, h.picker.SetClassWork
	h.dispatch.SetMemory(cfg.MemoryMB)
	h.dispatch.SlowStartBounds = ratelimit.Bounds{Factor: cfg.SlowStartFactor, Slack: cfg.SlowStartSlack, Window: slowStartWindow}
	h.controller.registry.onReplaced = h.onUpstreamReplaced
	h.controller.retirer, h.controller.requestIdleTimeouts = h.peers, &h.client.IdleTimeouts
	h.controller.healthCheck = h.client.CheckHealth
	h.controller.onEntriesRead, h.controller.onGap, h.controller.onLogFailing = h.picker.MarkSynced, h.picker.RecordGap, h.picker.SetLogFailing
	h.controller.elector.fleetSize = func() int { return h.fleet.Size(time.Now()) }
	h.controller.hasLiveCandidate = func() bool { return h.fleet.HasLiveCandidate(time.Now()) }
	return h
}

// desiredVersion returns the version of the desired state in force; 0 if there is none.
func (h *host) desiredVersion() int64 {
	if st := h.views.Load().Desired; st != nil {
		return st.Version
	}
	return 0
}

// candidateMinCPU (in cores) and candidateMinLinkMbps are the capacity that a
// host needs to plan for a hundred others: each ownership change sends some 5 KB
// to every host, and a change of load causes several of them a second.
const candidateMinCPU, candidateMinLinkMbps = 0.3, 100

// leaseTTL is how long the planner lease lasts after its last renewal, unless the
// log service's minimum is longer.
const leaseTTL = 1200 * time.Millisecond

// hostBudgetLimits returns this host's share of the retry budget in a fleet of
// the given number of hosts.
func hostBudgetLimits(cfg *settings.EntryHost, hosts int) budget.Limits {
	return budget.Limits{Ratio: cfg.RetryBudgetRatio, Slack: cfg.RetryBudgetSlack / float64(max(hosts, minAssumedHosts)), Window: cfg.RetryBudgetWindow}
}

// serve handles a caller's request. While the host is stopping, it also has the
// caller close the connection.
func (h *host) serve(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	h.dispatch.ServeHTTP(w, r)
}

// serveReady responds to the platform's readiness probe. The host is unready until
// it knows the desired state, and while it is stopping.
func (h *host) serveReady(w http.ResponseWriter, _ *http.Request) {
	v := h.views.Load()
	if h.stopping.Load() || v.Desired == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// awaitStop waits for the end of ctx and performs the graceful shutdown. It
// returns nil if workCtx ends first.
func (h *host) awaitStop(ctx, workCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return nil
	}
	h.stopping.Store(true)
	began := time.Now()
	h.zl.Info("stopping", zap.Int("event", events.EntryHostStopping), zap.Int64("in_flight", h.inFlight.Load()))
	deadline := began.Add(h.cfg.ShutdownGrace - shutdownMargin)
	h.dispatch.StopBy(deadline.Add(-responseWriteMargin))
	h.controller.beginShutdown(workCtx)
	time.Sleep(readinessPropagationDelay)
	// Shutdown, unlike Close, lets responses that are being written finish.
	shutdownCtx, cancel := context.WithDeadline(workCtx, deadline)
	defer cancel()
	h.pipeline.Drain(shutdownCtx)
	if err := h.callerServer.Shutdown(shutdownCtx); err != nil {
		h.zl.Warn("stopped with requests still in flight", zap.Int("event", events.EntryHostStopping), zap.Int64("in_flight", h.inFlight.Load()), ErrorField(err))
	}
	h.awaitForwarded(shutdownCtx)
	h.callerListener.Wait(shutdownCtx)
	return ctx.Err()
}
