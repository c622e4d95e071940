package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/papayatide/papayatide/internal/entryhost"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/logsink"
	"github.com/papayatide/papayatide/internal/settings"
	"github.com/papayatide/papayatide/platform"
)

const (
	// settingsPollInterval is how often the settings file is looked at; it may change
	// without a signal.
	settingsPollInterval = time.Second
	// logServiceConns and orderConns are the connections used to the log service
	// and, for orders, to each upstream.
	logServiceConns = 8
	// Of the latter some may end while the log service is away and none may
	// be opened.
	grantConns = 3
)

// runEntryHost runs an entry host on the users' platform.
func runEntryHost() error {
	path := os.Getenv(platform.SettingsEnv)
	cfg, err := settings.LoadEntryHost(path)
	if err != nil {
		return settingsError{err}
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	zl, err := newLogger(cfg.LogLevel, sink)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reload := make(chan *settings.EntryHost)
	go watchSettings(ctx, path, reload, zl)
	plat := entryhost.Platform{Store: platform.NewStore(cfg.LogAddr, platform.NewHTTPClient(logServiceConns)), Decoder: platform.Decoder{},
		Granter: platform.NewGranter(grantConns), Headers: platform.Headers, ReadyPath: platform.PathReady,
		LogDropped: sink.Dropped}
	return entryhost.Run(ctx, cfg, plat, reload, zl)
}

func newLogger(level string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), out, lvl)), nil
}

// watchSettings reads the settings file again when told to by a signal and
// when it has changed. Settings that are not valid leave the old in force.
func watchSettings(ctx context.Context, path string, out chan<- *settings.EntryHost, zl *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	last, _ := os.ReadFile(path)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && string(data) == string(last) {
			continue
		}
		last = data
		cfg, err := settings.LoadEntryHost(path)
		if err != nil {
			zl.Error("changed settings refused; the old ones stay", zap.Int("event", events.SettingsRejected), entryhost.ErrorField(err))
			continue
		}
		select {
		case out <- cfg:
		case <-ctx.Done():
			return
		}
	}
}
