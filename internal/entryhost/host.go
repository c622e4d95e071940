package entryhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/budget"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/protocol"
	"github.com/papayatide/papayatide/internal/ratelimit"
	"github.com/papayatide/papayatide/internal/refused"
	"github.com/papayatide/papayatide/internal/settings"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
	"github.com/papayatide/papayatide/rpc/peerpb"
	"github.com/papayatide/papayatide/rpc/refusedpb"
)

// Platform is what an entry host needs of the platform it runs on.
type Platform struct {
	Store     metastore.Store
	Decoder   Decoder
	Granter   Granter
	Headers   protocol.Headers
	ReadyPath string
	// LogDropped returns how many log lines were dropped so far.
	LogDropped func() int64
	// Net opens the host's sockets and Clock bounds its leases. Without them
	// they are the kernel's; tests of whole fleets bring their own, as order and
	// outcome must not depend on how busy the machine is.
	Net   Network
	Clock bootclock.Clock
}

// Network opens sockets.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// listenOn opens a listener at addr (host:port).
func (p *Platform) listenOn(addr string) (net.Listener, error) {
	if p.Net != nil {
		return p.Net.Listen(addr)
	}
	return net.Listen("tcp4", addr)
}

// peerTransport carries calls to other entry hosts.
func (p *Platform) peerTransport() *http.Transport {
	t := &http.Transport{MaxIdleConnsPerHost: 2}
	if p.Net != nil {
		t.DialContext = p.Net.Dial
	}
	return t
}

const (
	// readinessPropagationDelay is how long after it reports unready a stopping host keeps
	// taking connections: the platform asks once a second and takes a host
	// out after two misses.
	readinessPropagationDelay = 2300 * time.Millisecond
	// shutdownMargin is left of the grace period for the process to end, and
	// answerMargin for the last answers to be written before that.
	shutdownMargin      = 400 * time.Millisecond
	responseWriteMargin = 300 * time.Millisecond
	// callerIdleTimeout is how long callers' idle connections are kept. It is over
	// every idle time that callers are told.
	callerIdleTimeout = 75 * time.Second
	// readHeaderTimeout bounds how long a caller takes for its headers.
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	housekeepInterval = time.Second
	// gcPercent trades a little processor time for memory, which is priced.
	gcPercent = 50
	// memoryLimitFraction of the allowance makes the collector work harder.
	memoryLimitFraction = 0.8
	// minAssumedHosts is the least number of hosts that the fixed part of the
	// repeat budget is divided by: for the time in which the fleet's size is
	// not known yet.
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
	// allocator divides upstreams' rate limits among the hosts while this one plans.
	allocator *ratelimit.Allocator
	peers     *peer.Client
	logSyncer *logSyncer
	fleet     *fleet.Fleet
	// candidate hosts are strong enough to plan and to relay.
	candidate          bool
	loadSampler        *loadSampler
	inFlightAggregator *inFlightAggregator
	plat               Platform
	callerServer       *http.Server
	stopping           atomic.Bool
	inFlight           atomic.Int64
	// reportedDroppedLines is how many dropped log lines were told of.
	reportedDroppedLines int64
}

// Run serves until ctx ends or a part fails. The end of ctx is a planned
// stop: the host reports unready, serves on until the platform sends it no
// more callers, and ends when the requests under way are answered. Each
// value from reload replaces the settings that can change at run time.
func Run(ctx context.Context, cfg *settings.EntryHost, plat Platform, reload <-chan *settings.EntryHost, zl *zap.Logger) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * memoryLimitFraction * (1 << 20)))
	h := newHost(cfg, plat, zl)
	var g run.Group
	work, cancel := context.WithCancel(context.Background())
	h.feedback.OnChange = func(c feedback.Change) { h.onUpstreamReport(work, c) }
	g.Add(func() error { h.controller.run(work); return nil }, func(error) { cancel() })
	g.Add(func() error { h.controller.crashes.run(work); return nil }, func(error) { cancel() })
	h.logSyncer = h.newLogSyncer(work)
	g.Add(func() error { h.logSyncer.run(work); return nil }, func(error) { cancel() })
	g.Add(func() error { h.housekeep(work, reload); return nil }, func(error) { cancel() })
	if err := h.listen(work, &g); err != nil {
		cancel()
		return err
	}
	g.Add(func() error { return h.awaitStop(ctx, work) }, func(error) { cancel() })
	zl.Info("started", zap.Int("event", events.EntryHostStarted), zap.String("host", cfg.Host), zap.String("data_centre", cfg.DataCentre),
		zap.Float64("cpu_share", cfg.CPUShare), zap.Float64("link_mbps", cfg.LinkMbps), zap.Bool("eager", h.candidate))
	err := g.Run()
	zl.Info("stopped", zap.Int("event", events.EntryHostStopped), ErrorField(err))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func newHost(cfg *settings.EntryHost, plat Platform, zl *zap.Logger) *host {
	h := &host{cfg: cfg, zl: zl, views: view.NewPublisher(), client: upstream.NewClient(plat.Headers), picker: balance.NewPicker(cfg.Host),
		budget: budget.New(hostBudgetLimits(cfg, 1), time.Now()), loadSampler: newLoadSampler(), allocator: ratelimit.NewAllocator(), plat: plat, fleet: fleet.New(cfg.DataCentre),
		candidate: cfg.CPUShare >= candidateMinCPU && cfg.LinkMbps >= candidateMinLinkMbps,
		peers:     peer.NewClient(&http.Client{Transport: plat.peerTransport()})}
	if plat.Net != nil {
		h.client.Dial = plat.Net.Dial
	}
	h.inFlightAggregator = newInFlightAggregator(cfg.Host, cfg.DataCentre, h.picker, func() *catalogue.Snapshot { return h.views.Load().Upstreams })
	h.controller = newController(zl, plat.Store, plat.Decoder, plat.Granter, h.views, planner.Options{Host: cfg.Host, PeerAddr: cfg.PeerListen,
		GrantTTL: cfg.GrantTTL, MaxViewAge: cfg.MaxViewAge, LeaseTTL: max(cfg.MinLeaseTTL, leaseTTL), Candidate: h.candidate},
		cfg.EvacuationTimeout)
	h.feedback, h.controller.drainTimeout = h.controller.feedback, cfg.DrainTimeout
	if plat.Clock != nil {
		h.controller.clock = plat.Clock
	}
	h.controller.crashes = newCrashLog(zl, plat.Store, h.controller.isPlanner.Load)
	h.dispatch = dispatch.New(plat.Headers, cfg.DataCentre, h.views, h.client, h.picker, h.budget, h.controller.crashes.tracker, h.feedback,
		ratelimit.NewLimiter(reportedLimitBounds, h.requestPermits))
	h.dispatch.OnRequestDone, h.dispatch.OnBrokenSend = h.onRequestDone, h.onBrokenSend
	h.dispatch.SlowStartBounds = ratelimit.Bounds{Factor: cfg.SlowStartFactor, Slack: cfg.SlowStartSlack, Window: slowStartWindow}
	h.controller.retirer = h.peers
	h.controller.elector.fleetSize = func() int { return h.fleet.Size(time.Now()) }
	h.controller.candidateAlive = func() bool { return h.fleet.HasLiveCandidate(time.Now()) }
	return h
}

// eagerCPU (parts of a core) and eagerLink (Mbit/s) are what a host needs to
// plan for a hundred others: a change of ownership sends each some 5 KB, and
// a change of load brings several a second.
const candidateMinCPU, candidateMinLinkMbps = 0.3, 100

// seatTTL is how long the planner's seat outlives its holder's last word.
const leaseTTL = 1200 * time.Millisecond

// hostBudgetLimits is this host's part of the repeats in a fleet of so many.
func hostBudgetLimits(cfg *settings.EntryHost, hosts int) budget.Limits {
	return budget.Limits{Ratio: cfg.RetryBudgetRatio, Slack: cfg.RetryBudgetSlack / float64(max(hosts, minAssumedHosts)), Window: cfg.RetryBudgetWindow}
}

// listen adds the host's servers.
func (h *host) listen(work context.Context, g *run.Group) error {
	h.callerServer = &http.Server{Handler: http.HandlerFunc(h.serve), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: dispatch.WithCaller}
	if err := h.addServer(work, g, h.cfg.Listen, h.callerServer); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+h.plat.ReadyPath, h.serveReady)
	if err := h.addServer(work, g, h.cfg.ReadyListen, &http.Server{Handler: ready, ReadHeaderTimeout: readHeaderTimeout}); err != nil {
		return err
	}
	peers := http.NewServeMux()
	ps := peerpb.NewPeerServer(&peer.Server{Copy: h.controller.replica, ReplicaStatus: h.replicaStatus, Fleet: h.fleet, Name: h.cfg.Host, HostStatus: h.status, RetireTermsBefore: h.retire,
		OnLoads: func(l []peer.ServiceLoad) { h.receiveLoads(work, l) }, OnLoadStats: h.inFlightAggregator.report, PeerLoads: h.inFlightAggregator.othersInFlight,
		Feedback: h.feedback, AcquirePermits: h.issuePermits})
	peers.Handle(ps.PathPrefix(), ps)
	rs := refusedpb.NewRefusedServer(&refused.Server{Host: h.cfg.Host, Crashes: h.controller.crashes.tracker, Log: h.zl})
	peers.Handle(rs.PathPrefix(), rs)
	if err := h.addServer(work, g, h.cfg.PeerListen, &http.Server{Handler: peers, ReadHeaderTimeout: readHeaderTimeout}); err != nil {
		return err
	}
	page := http.NewServeMux()
	page.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		h.writeGauges(w, time.Now())
	})
	return h.addServer(work, g, h.cfg.MetricsListen, &http.Server{Handler: page, ReadHeaderTimeout: readHeaderTimeout})
}

func (h *host) addServer(work context.Context, g *run.Group, addr string, srv *http.Server) error {
	ln, err := h.plat.listenOn(addr)
	if err != nil {
		return eris.Wrapf(err, "listen %s", addr)
	}
	g.Add(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serve %s", addr)
		}
		<-work.Done() // Shutdown ends Serve before the answers are out
		return nil
	}, func(error) { _ = srv.Close() })
	return nil
}

func (h *host) serve(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	h.dispatch.ServeHTTP(w, r)
}

// serveReady answers whether the platform may send callers: not before the
// desired state is known, and not while stopping.
func (h *host) serveReady(w http.ResponseWriter, _ *http.Request) {
	v := h.views.Load()
	if h.stopping.Load() || v.Desired == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// awaitStop waits for the planned stop and carries it out.
func (h *host) awaitStop(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	h.stopping.Store(true)
	began := time.Now()
	h.zl.Info("stopping", zap.Int("event", events.EntryHostStopping), zap.Int64("in_flight", h.inFlight.Load()))
	last := began.Add(h.cfg.ShutdownGrace - shutdownMargin)
	h.dispatch.StopBy(last.Add(-responseWriteMargin))
	h.controller.resign(work)
	time.Sleep(readinessPropagationDelay)
	// Shutdown, unlike Close, lets answers that are being written go out.
	sctx, cancel := context.WithDeadline(work, last)
	defer cancel()
	if err := h.callerServer.Shutdown(sctx); err != nil {
		h.zl.Warn("stopped with requests under way", zap.Int("event", events.EntryHostStopping), zap.Int64("in_flight", h.inFlight.Load()), ErrorField(err))
	}
	return ctx.Err()
}

// housekeep closes what is no longer used and takes in changed settings.
func (h *host) housekeep(ctx context.Context, reload <-chan *settings.EntryHost) {
	t := time.NewTicker(housekeepInterval)
	defer t.Stop()
	current := h.cfg
	for {
		select {
		case <-ctx.Done():
			return
		case cfg := <-reload:
			current = cfg
			h.zl.Info("settings reloaded", zap.Int("event", events.SettingsReloaded))
		case now := <-t.C:
			h.logDroppedLines()
			hosts := h.fleet.Size(now)
			h.dispatch.SetHostCount(hosts, h.fleetSizeKnown(now))
			h.budget.SetLimits(hostBudgetLimits(current, hosts))
			keep := listedIn(h.views.Load().Upstreams)
			h.client.Prune(now, keep)
			h.picker.Prune(keep)
			h.picker.MarkSynced(h.controller.replica.CurrentAt(metastore.StreamUpstreams))
			h.feedback.Prune(keep, now)
			h.dispatch.Prune()
		}
	}
}

// fleetSizeKnown reports whether the fleet's size rests on the planner's word, or,
// on a planner, on the calls of the others, who have had time to find it.
func (h *host) fleetSizeKnown(now time.Time) bool {
	return h.fleet.HasPlannerSize() || (h.controller.isPlanner.Load() && now.Sub(h.logSyncer.startedAt) > fleetDiscoveryTime)
}

// gatherFleet is how long after its start a planner that nobody told how many
// hosts there are waits for them to call.
const fleetDiscoveryTime = 3 * time.Second

// logDroppedLines logs that log lines were dropped since it last looked.
func (h *host) logDroppedLines() {
	total := h.plat.LogDropped()
	if total > h.reportedDroppedLines {
		h.zl.Warn("log lines dropped", zap.Int("event", events.LogLinesDropped), zap.Int64("dropped", total-h.reportedDroppedLines))
	}
	h.reportedDroppedLines = total
}

func listedIn(s *catalogue.Snapshot) func(id string) bool {
	return func(id string) bool { return s.ByID[id] != nil }
}
