package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/papayatide/papayatide/internal/admin"
	"github.com/papayatide/papayatide/internal/bodybudget"
	"github.com/papayatide/papayatide/internal/bounded"
	"github.com/papayatide/papayatide/internal/control"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/hostlist"
	"github.com/papayatide/papayatide/internal/httpclient"
	"github.com/papayatide/papayatide/internal/ingress"
	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/refused"
	"github.com/papayatide/papayatide/internal/router"
	"github.com/papayatide/papayatide/internal/settings"
	"github.com/papayatide/papayatide/internal/target"
	"github.com/papayatide/papayatide/rpc/adminpb"
	"github.com/papayatide/papayatide/rpc/refusedpb"
)

// NewLogger returns a JSON zap logger at level ("debug", "info", ...).
func NewLogger(level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(lvl)
	cfg.Sampling = nil
	l, err := cfg.Build()
	return l, eris.Wrap(err, "build logger")
}

// Run runs the daemon until ctx is cancelled or a component fails. Cancelling ctx
// starts a graceful shutdown: the host reports not ready, stops accepting
// connections and waits up to ShutdownGrace for requests in flight. Run then
// returns nil.
func Run(ctx context.Context, cfg *settings.Daemon, logger *zap.Logger) error {
	logClient := logservice.New(cfg.LogURL, httpclient.New(&http.Transport{MaxResponseHeaderBytes: bounded.MaxHeadBytes}))
	targets := target.NewClient()
	targets.AttemptTimeout = cfg.AttemptTimeout
	// The platform's host list has the machines of targets.
	var hostList *hostlist.Client
	if cfg.HostListURL != settings.HostListOff {
		client := httpclient.New(&http.Transport{MaxResponseHeaderBytes: bounded.MaxHeadBytes})
		client.Timeout = hostListTimeout
		hostList = hostlist.New(cfg.HostListURL, client)
	}
	loop := control.New(control.Options{HostList: hostList, HostListInterval: cfg.HostListInterval, Host: cfg.Host, DataCentre: cfg.DataCentre, PollInterval: cfg.PollInterval,
		ProbeInterval: cfg.ProbeInterval, ProbeFailures: cfg.ProbeFailures, GrantTTL: cfg.GrantTTL,
		SnapshotEvery: cfg.SnapshotEvery, SnapshotInterval: cfg.SnapshotInterval, HeartbeatInterval: cfg.HeartbeatInterval, HeartbeatTimeout: cfg.HeartbeatTimeout,
		HostsPerUpstream: cfg.HostsPerUpstream}, logClient, targets, logger)
	callerRouter := router.New(router.Options{Host: cfg.Host, Timeout: cfg.RequestTimeout, MaxViewAge: cfg.MaxViewAge,
		RetryAfter: cfg.RetryAfter, LatencyObjective: cfg.LatencyObjective, MemoryMB: cfg.MemoryMB}, loop.Table, targets, logger)
	callerRouter.OnFenced = func(string) { loop.Wake() }

	callerMux := http.NewServeMux()
	callerMux.Handle("/{service}/{key...}", callerRouter)
	var stopping atomic.Bool
	adminMux := http.NewServeMux()
	adminServer := adminpb.NewAdminServer(&admin.Server{Host: cfg.Host, DataCentre: cfg.DataCentre, Table: loop.Table, RequestCounts: callerRouter.RequestCounts})
	adminMux.Handle(adminServer.PathPrefix(), adminServer)
	refusedServer := refusedpb.NewRefusedServer(&refused.Server{Host: cfg.Host, Crashes: callerRouter.Crashes(), Log: logger})
	adminMux.Handle(refusedServer.PathPrefix(), refusedServer)
	adminMux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	adminMux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Load() || loop.Table() == nil {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})

	var g run.Group
	loopCtx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return loop.Run(loopCtx) }, func(error) { cancel() })
	g.Add(func() error { ingress.Report(loopCtx, logger); return nil }, func(error) { cancel() })
	stopCtx, stop := context.WithCancel(ctx)
	g.Add(func() error { <-stopCtx.Done(); return ctx.Err() }, func(error) { stop() })
	limits := ingress.NewLimits(cfg.MemoryMB, ingress.Descriptors(cfg.Descriptors))
	heads := bodybudget.New(limits.HeadBytes)
	callers := listener{addr: cfg.Listen, handler: callerMux, maxConns: limits.Callers, heads: heads, grace: cfg.ShutdownGrace, stopping: &stopping}
	if err := callers.addTo(&g); err != nil {
		return err
	}
	calls := ingress.BodyLimits{Largest: maxCallBytes, Timeout: callBodyTimeout, Budget: bodybudget.New(limits.ControlBodyBytes)}
	admins := listener{addr: cfg.AdminListen, handler: calls.Handler(adminMux), maxConns: limits.Other, heads: heads, grace: time.Second}
	if err := admins.addTo(&g); err != nil {
		return err
	}
	logger.Info("started", zap.Int("event", events.Started), zap.String("host", cfg.Host),
		zap.String("data_centre", cfg.DataCentre), zap.String("listen", cfg.Listen))
	err := g.Run()
	logger.Info("stopped", zap.Int("event", events.Stopped), zap.Error(err))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

const (
	// readHeaderTimeout bounds the time in which a client must send a request's head of up to maxHeaderBytes,
	// idleTimeout how long its idle connections stay open.
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 75 * time.Second
	hostListTimeout   = 5 * time.Second
	// maxCallBytes bounds the body of an administrator's call, callBodyTimeout the time until it has arrived.
	maxCallBytes    = 64 << 10
	callBodyTimeout = 10 * time.Second
)

// listener is where the daemon serves handler.
type listener struct {
	addr     string
	handler  http.Handler
	maxConns int
	// heads is the budget for the heads of requests.
	heads *bodybudget.Budget
	// grace bounds the graceful shutdown, at the beginning of which stopping is set unless it is nil.
	grace    time.Duration
	stopping *atomic.Bool
}

// addTo opens the listener and adds its HTTP server to g.
func (l listener) addTo(g *run.Group) error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return eris.Wrapf(err, "listen %s", l.addr)
	}
	srv := &http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	ingress.Track(srv)
	g.Add(func() error {
		if err := srv.Serve(ingress.NewListener(ln, l.maxConns, l.heads)); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serve %s", l.addr)
		}
		return nil
	}, func(error) {
		if l.stopping != nil {
			l.stopping.Store(true)
		}
		ctx, cancel := context.WithTimeout(context.Background(), l.grace)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	return nil
}
