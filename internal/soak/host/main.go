// Command host is papayatided entry on a network whose paths to upstreams package soak can cut.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/papayatide/papayatide/internal/entryhost"
	"github.com/papayatide/papayatide/internal/logsink"
	"github.com/papayatide/papayatide/internal/settings"
	"github.com/papayatide/papayatide/internal/standin/pathfault"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/platform"
)

const logServiceConns, grantConns = 8, 3

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "host:", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, err := settings.LoadEntryHost(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return err
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dialer := upstream.NewDialer()
	network := pathfault.New(context.Background(), os.Getenv(pathfault.FileEnv), dialer.Timeout, dialer.DialContext)
	logger, err := entryhost.NewLogger(cfg.LogLevel, sink)
	if err != nil {
		return err
	}
	deps := entryhost.Platform{Store: platform.NewStore(cfg.LogServiceAddr, platform.NewHTTPClient(logServiceConns)), Decoder: platform.Decoder{},
		Granter: platform.NewGranterOver(grantConns, network.Dial), Headers: platform.Headers, ReadyPath: platform.PathReady,
		DroppedLogLines: sink.Dropped, Net: network}
	return entryhost.Run(ctx, cfg, deps, nil, logger)
}
