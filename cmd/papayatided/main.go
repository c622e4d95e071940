// Command papayatided is the papayatide entry-host daemon.
//
// Usage: papayatided -config /etc/papayatide/papayatided.ini
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/daemon"
	"github.com/papayatide/papayatide/internal/settings"
)

func main() {
	path := flag.String("config", "papayatided.ini", "path of the INI settings file")
	flag.Parse()
	cfg, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "papayatided:", err)
		os.Exit(2)
	}
	zl, err := daemon.NewLogger(cfg.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, "papayatided:", err)
		os.Exit(2)
	}
	defer func() { _ = zl.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := daemon.Run(ctx, cfg, zl); err != nil {
		zl.Error("daemon failed", zap.Error(err))
		os.Exit(1)
	}
}
