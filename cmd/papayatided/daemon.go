package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/papayatide/papayatide/internal/daemon"
	"github.com/papayatide/papayatide/internal/memlimit"
	"github.com/papayatide/papayatide/internal/settings"
)

// runWithManifest runs the entry host of a deployment with a published manifest until a
// signal stops it or it fails.
func runWithManifest() error {
	path := flag.String("config", "papayatided.ini", "path of the INI settings file")
	flag.Parse()
	cfg, err := settings.LoadDaemon(*path)
	if err != nil {
		return settingsError{err}
	}
	logger, err := daemon.NewLogger(cfg.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	memlimit.Apply(cfg.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return daemon.Run(ctx, cfg, logger)
}
