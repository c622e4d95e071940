package entryhost

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/bodybudget"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/ingress"
	"github.com/papayatide/papayatide/internal/lingering"
	"github.com/papayatide/papayatide/internal/peer"
	"github.com/papayatide/papayatide/internal/pipeline"
	"github.com/papayatide/papayatide/internal/refused"
	"github.com/papayatide/papayatide/internal/worktime"
	"github.com/papayatide/papayatide/rpc/peerpb"
	"github.com/papayatide/papayatide/rpc/refusedpb"
)

const (
	// idleTimeout is how long clients' idle connections stay open. It exceeds every keep-alive time
	// announced to callers.
	idleTimeout = 75 * time.Second
	// readHeaderTimeout bounds the time in which a client must send its headers.
	readHeaderTimeout = 5 * time.Second
	// Heads of requests have up to these bytes: those of callers, those that other hosts pass on, which have
	// headers of their own besides, and those of probes.
	maxHeaderBytes      = 64 << 10
	maxPeerHeaderBytes  = maxHeaderBytes + 16<<10
	maxProbeHeaderBytes = 8 << 10
	// maxCallBytes bounds the body of a call by another host, callBodyTimeout the time until it has arrived.
	maxCallBytes    = 8 << 20
	callBodyTimeout = 10 * time.Second
)

// listen opens the host's listeners and adds their HTTP servers to g.
func (h *host) listen(workCtx context.Context, g *run.Group) error {
	h.pipeline = &pipeline.Server{Handler: http.HandlerFunc(h.serve), Idempotent: h.hasIdempotentRoute, Stopping: h.stopping.Load}
	h.pipeline.SetMemory(h.cfg.MemoryMB)
	h.callerServer = &http.Server{Handler: h.pipeline, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: callerContext}
	if err := h.addServer(workCtx, g, h.cfg.Listen, h.limits.Callers, h.callerServer); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+h.plat.ReadyPath, h.serveReady)
	if err := h.addServer(workCtx, g, h.cfg.ReadyListen, h.limits.Other, probeServer(ready)); err != nil {
		return err
	}
	peers := http.NewServeMux()
	ps := peerpb.NewPeerServer(&peer.Server{Replica: h.controller.replica, ReplicaStatus: h.replicaStatus, Fleet: h.fleet, Name: h.cfg.Host, HostStatus: h.status, RetireTermsBefore: h.retire,
		OnKeyLoads: func(l []peer.ServiceLoad) { h.receiveKeyLoads(workCtx, l) }, OnLoadStats: h.inFlightAggregator.recordStats, PeerLoads: h.inFlightAggregator.peerLoads,
		SilenceNotices: h.inFlightAggregator.silenceNotices,
		Speeds:         func(caller fleet.Host) []worktime.Speed { return h.speeds.forCaller(caller, time.Now()) },
		OnDemand:       h.shares.recordDemand, Shares: h.shares.sharesFor,
		DesiredVersion: h.desiredVersion, OnDesiredVersion: func(host string, version int64) { h.versions.observe(host, version, time.Now()) },
		Clock: h.controller.clock, Helpers: h.helpersFor, SendGrant: h.sendRelayedGrant,
		Feedback: h.feedback, IssuePermits: h.issuePermits})
	peers.Handle(ps.PathPrefix(), ps)
	rs := refusedpb.NewRefusedServer(&refused.Server{Host: h.cfg.Host, Crashes: h.controller.crashes.tracker, Log: h.zl})
	peers.Handle(rs.PathPrefix(), rs)
	calls := ingress.BodyLimits{Largest: maxCallBytes, Timeout: callBodyTimeout, Budget: bodybudget.New(h.limits.ControlBodyBytes)}
	peerServer := &http.Server{Handler: h.peerHandler(calls.Handler(peers)), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxPeerHeaderBytes, ConnContext: peerContext}
	if err := h.addServer(workCtx, g, h.cfg.PeerListen, h.limits.Peers, peerServer); err != nil {
		return err
	}
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		h.writeGauges(w, time.Now()) // first, because collectors may cut a long page
		metrics.WritePrometheus(w, true)
	})
	return h.addServer(workCtx, g, h.cfg.MetricsListen, h.limits.Other, probeServer(metricsMux))
}

// probeServer returns a server for small requests without a body.
func probeServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxProbeHeaderBytes}
}

// addServer listens on addr (host:port) for up to maxConns connections and adds srv to g.
func (h *host) addServer(workCtx context.Context, g *run.Group, addr string, maxConns int, srv *http.Server) error {
	ln, err := h.plat.listenOn(addr)
	if err != nil {
		return eris.Wrapf(err, "listen %s", addr)
	}
	if srv == h.callerServer {
		h.callerListener = lingering.NewListener(ln, min(h.limits.Lingering, lingering.DefaultMaxConns))
		ln = h.pipeline.Listen(ingress.NewListener(h.callerListener, maxConns, h.heads))
	} else {
		ln = ingress.NewListener(ln, maxConns, h.heads)
	}
	ingress.Track(srv)
	g.Add(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serve %s", addr)
		}
		<-workCtx.Done() // Serve returns as soon as Shutdown begins, before the responses are written
		return nil
	}, func(error) { _ = srv.Close() })
	return nil
}
