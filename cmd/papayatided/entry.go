package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/entryhost"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/logsink"
	"github.com/papayatide/papayatide/internal/settings"
	"github.com/papayatide/papayatide/platform"
)

const (
	// settingsPollInterval is how often the settings file is checked for changes,
	// as it may change without a signal.
	settingsPollInterval = time.Second
	// logServiceConns is the number of connections to the log service.
	logServiceConns = 8
	// grantConns is the number of connections to each upstream for grants. A planner
	// that can't reach the log service to renew its lease must not open connections,
	// as an upstream may have restarted at the same address. With only one, grants
	// could stop when the upstream closes it.
	grantConns = 3
)

// runOnPlatform runs an entry host on the platform until a signal stops it or it
// fails. The environment variable platform.SettingsEnv holds the path of its
// settings file.
func runOnPlatform() error {
	path := os.Getenv(platform.SettingsEnv)
	cfg, err := settings.LoadEntryHost(path)
	if err != nil {
		return settingsError{err}
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	logger, err := entryhost.NewLogger(cfg.LogLevel, sink)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reload := make(chan *settings.EntryHost)
	go watchSettings(ctx, path, reload, logger)
	deps := entryhost.Platform{Store: platform.NewStore(cfg.LogServiceAddr, platform.NewHTTPClient(logServiceConns)), Decoder: platform.Decoder{},
		Granter: platform.NewGranter(grantConns), Headers: platform.Headers, ReadyPath: platform.PathReady,
		DroppedLogLines: sink.Dropped}
	return entryhost.Run(ctx, cfg, deps, reload, logger)
}

// watchSettings sends the settings to out when the file has changed. It reads the file
// every settingsPollInterval and on SIGHUP. It logs invalid settings; the previous
// ones then stay in effect.
func watchSettings(ctx context.Context, path string, out chan<- *settings.EntryHost, logger *zap.Logger) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	last, _ := os.ReadFile(path)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && string(data) == string(last) {
			continue
		}
		last = data
		cfg, err := settings.LoadEntryHost(path)
		if err != nil {
			logger.Error("changed settings rejected; the previous ones stay in effect", zap.Int("event", events.SettingsRejected), entryhost.ErrorField(err))
			continue
		}
		select {
		case out <- cfg:
		case <-ctx.Done():
			return
		}
	}
}
