package loopback

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/daemon"
	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/settings"
	"github.com/papayatide/papayatide/internal/standin/hostlist"
	"github.com/papayatide/papayatide/internal/standin/logsvc"
	"github.com/papayatide/papayatide/internal/standin/ports"
	"github.com/papayatide/papayatide/internal/standin/target"
)

// Spec describes a deployment to start.
type Spec struct {
	DataCentres []string
	Services    []manifest.ServiceSpec
	Slots       int
	HostsPerDC  int
	// Settings is the template for every entry host. The host name, the data
	// centre and all addresses are filled in.
	Settings settings.Daemon
	// Target is the template for every target. Name, Slots and CheckFencing
	// are filled in from the manifest.
	Target target.Options
	Logger *zap.Logger
	// Retention is how long the log service stand-in keeps records; 0 keeps
	// all of them.
	Retention time.Duration
	// HostListLag, if positive, starts a host list stand-in that shows each
	// change after this lag.
	HostListLag time.Duration
}

// DefaultSettings returns entry host settings with intervals short enough for
// tests.
func DefaultSettings() settings.Daemon {
	return settings.Daemon{LogLevel: "info", MemoryMB: 284, PollInterval: 20 * time.Millisecond, RequestTimeout: 2 * time.Second, AttemptTimeout: 200 * time.Millisecond,
		MaxViewAge: time.Second, RetryAfter: time.Second, GrantTTL: 300 * time.Millisecond,
		ProbeInterval: 50 * time.Millisecond, ProbeFailures: 2, SnapshotEvery: 64, SnapshotInterval: time.Minute, ShutdownGrace: 2 * time.Second,
		HostListInterval: 100 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond, HeartbeatTimeout: time.Second, HostsPerUpstream: 2,
		LatencyObjective: 16 * time.Millisecond}
}

// Target is a target stand-in that can be killed and restarted.
type Target struct {
	Upstream manifest.Upstream
	// Server is the current incarnation.
	Server *target.Server
	opts   target.Options
	srv    *httpServer
	// previousIncarnations keeps the servers of earlier incarnations, so that
	// Runs counts their work too.
	previousIncarnations []*target.Server
}

// Host is a running entry host.
type Host struct {
	Name, DataCentre string
	// URL and AdminURL are the base URLs for callers and for the admin API.
	URL, AdminURL string
	cancel        context.CancelFunc
	done          chan error
	stopOnce      sync.Once
	stopErr       error
}

// Fleet is a running deployment: its entry hosts, targets, log service and host list.
type Fleet struct {
	// HostList is nil unless Spec.HostListLag was set.
	HostList       *hostlist.Server
	Log            *logsvc.Server
	LogURL         string
	Manifest       *manifest.Manifest
	Targets        map[string]*Target
	Hosts          []*Host
	spec           Spec
	logServer      *httpServer
	hostListServer *httpServer
}

// httpServer is an HTTP server whose Close frees its address before it returns.
type httpServer struct {
	*http.Server
	ln net.Listener
}

// Close stops the server. It closes the listener explicitly: http.Server learns
// of its listener in Serve, so a Close before Serve would leave the address in
// use until the server's goroutine runs.
func (s *httpServer) Close() error {
	err := s.Server.Close()
	_ = s.ln.Close() // http.Server.Close may have closed it already
	return err
}

func serve(addr string, h http.Handler, connContext func(context.Context, net.Conn) context.Context) (*httpServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen %s", addr)
	}
	srv := &httpServer{Server: &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ConnContext: connContext}, ln: ln}
	go func() { _ = srv.Serve(ln) }()
	return srv, nil
}

// Start starts the log service, the targets and the entry hosts. It publishes no
// manifest; call Publish for that.
func Start(spec Spec) (*Fleet, error) {
	if spec.Logger == nil {
		spec.Logger = zap.NewNop()
	}
	f := &Fleet{Log: logsvc.NewServer(spec.Retention), Targets: map[string]*Target{}, spec: spec}
	addr, err := ports.FreeAddr()
	if err != nil {
		return nil, err
	}
	if f.logServer, err = serve(addr, f.Log.Handler(), nil); err != nil {
		return nil, err
	}
	f.LogURL = "http://" + addr
	hostListURL := settings.HostListOff
	if spec.HostListLag > 0 {
		f.HostList = hostlist.NewServer(spec.HostListLag)
		if addr, err = ports.FreeAddr(); err != nil {
			return nil, err
		}
		if f.hostListServer, err = serve(addr, f.HostList.Handler(), nil); err != nil {
			return nil, err
		}
		hostListURL = "http://" + addr
	}
	f.spec.Settings.HostListURL = hostListURL
	m := manifest.Generate("loopback", spec.DataCentres, spec.Services, spec.Slots, 64, 0)
	for si := range m.Services {
		for ui := range m.Services[si].Upstreams {
			u := &m.Services[si].Upstreams[ui]
			if u.Addr, err = ports.FreeAddr(); err != nil {
				return nil, err
			}
			t := &Target{Upstream: *u, opts: spec.Target}
			t.opts.Name, t.opts.Slots, t.opts.CheckFencing = u.Name, u.Slots, m.Services[si].FencingChecked
			if err := t.Start(); err != nil {
				f.Close()
				return nil, err
			}
			f.Targets[u.Name] = t
		}
	}
	f.Manifest = m
	for _, dc := range spec.DataCentres {
		for i := 0; i < spec.HostsPerDC; i++ {
			if _, err := f.AddHost(fmt.Sprintf("%s-e%d", dc, i+1), dc); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	return f, nil
}

// Start starts the target, or restarts it on the same address with empty state,
// as a new process would. It does nothing if the target is running.
func (t *Target) Start() error {
	if t.srv != nil {
		return nil
	}
	if t.Server != nil {
		t.previousIncarnations = append(t.previousIncarnations, t.Server)
	}
	t.Server = target.NewServer(t.opts)
	srv, err := serve(t.Upstream.Addr, t.Server.Handler(), t.Server.ConnContext)
	t.srv = srv
	return err
}

// Kill stops the target at once and aborts its requests in flight. It does
// nothing if the target is not running.
func (t *Target) Kill() {
	if t.srv != nil {
		_ = t.srv.Close()
		t.srv = nil
	}
}

// Runs returns how many times the operation with idempotency key ik ran on
// service/key, over all incarnations of the target.
func (t *Target) Runs(service, key, ik string) int64 {
	n := t.Server.Runs(service, key, ik)
	for _, s := range t.previousIncarnations {
		n += s.Runs(service, key, ik)
	}
	return n
}

// AddHost starts another entry host in data centre dc.
func (f *Fleet) AddHost(name, dc string) (*Host, error) {
	cfg := f.spec.Settings
	cfg.Host, cfg.DataCentre, cfg.LogURL = name, dc, f.LogURL
	var err error
	if cfg.Listen, err = ports.FreeAddr(); err != nil {
		return nil, err
	}
	if cfg.AdminListen, err = ports.FreeAddr(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{Name: name, DataCentre: dc, URL: "http://" + cfg.Listen, AdminURL: "http://" + cfg.AdminListen,
		cancel: cancel, done: make(chan error, 1)}
	go func() { h.done <- daemon.Run(ctx, &cfg, f.spec.Logger.With(zap.String("host", name))) }()
	f.Hosts = append(f.Hosts, h)
	return h, nil
}

// exitError returns the daemon's error if the entry host has stopped, and nil
// while it runs.
func (h *Host) exitError() error {
	select {
	case err := <-h.done:
		h.done <- err // Stop receives it again
		return err
	default:
		return nil
	}
}

// Stop shuts the entry host down gracefully and returns the daemon's error.
func (h *Host) Stop() error {
	h.stopOnce.Do(func() {
		h.cancel()
		h.stopErr = <-h.done
	})
	return h.stopErr
}

// Publish publishes the deployment's manifest.
func (f *Fleet) Publish(ctx context.Context) error {
	data, err := f.Manifest.Encode()
	if err != nil {
		return err
	}
	_, err = logservice.New(f.LogURL, http.DefaultClient).Append(ctx, logservice.StreamManifests, data)
	return err
}

// WaitReady waits until every entry host has served a request for every service.
// It fails if a host has stopped with an error.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, h := range f.Hosts {
		if err := h.exitError(); err != nil {
			return eris.Wrapf(err, "host %s exited", h.Name)
		}
		for _, s := range f.Manifest.Services {
			if err := waitForOK(ctx, h.URL+"/"+s.Name+"/ready-probe"); err != nil {
				return eris.Wrapf(err, "host %s service %s", h.Name, s.Name)
			}
		}
	}
	return nil
}

func waitForOK(ctx context.Context, url string) error {
	for {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Close stops the entry hosts, the targets, the log service and the host list.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		_ = h.Stop()
	}
	for _, t := range f.Targets {
		t.Kill()
	}
	if f.logServer != nil {
		_ = f.logServer.Close()
	}
	if f.hostListServer != nil {
		_ = f.hostListServer.Close()
	}
}
