package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/standin/hostlist"
	"github.com/papayatide/papayatide/internal/standin/logsvc"
	"github.com/papayatide/papayatide/internal/standin/target"
)

// Command returns the root command of papayatide-standin.
func Command() *cobra.Command {
	root := &cobra.Command{Use: "papayatide-standin", Short: "Stand-ins for the servers that papayatide uses", SilenceUsage: true}
	root.AddCommand(logCommand(), targetCommand(), hostsCommand())
	return root
}

func logCommand() *cobra.Command {
	var listen string
	var retention time.Duration
	cmd := &cobra.Command{Use: "log", Short: "Run the append-only log service stand-in",
		RunE: func(*cobra.Command, []string) error {
			return serve(listen, logsvc.NewServer(retention).Handler(), nil)
		}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "host:port to listen on")
	cmd.Flags().DurationVar(&retention, "retention", 10*time.Minute, "drop records older than this (0 keeps all)")
	return cmd
}

func hostsCommand() *cobra.Command {
	var listen string
	var lag time.Duration
	cmd := &cobra.Command{Use: "hosts", Short: "Run the stand-in for the platform's list of live and leaving hosts",
		RunE: func(*cobra.Command, []string) error {
			return serve(listen, hostlist.NewServer(lag).Handler(), nil)
		}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7100", "host:port to listen on")
	cmd.Flags().DurationVar(&lag, "lag", 2*time.Second, "delay before a change appears in the list")
	return cmd
}

func targetCommand() *cobra.Command {
	var example, file, upstream string
	var opts target.Options
	var drainWait time.Duration
	cmd := &cobra.Command{Use: "target", Short: "Run one target server stand-in for an upstream of a manifest",
		RunE: func(*cobra.Command, []string) error {
			data, err := manifest.Example(example)
			if file != "" {
				data, err = os.ReadFile(file)
			}
			if err != nil {
				return err
			}
			m, err := manifest.Parse(data)
			if err != nil {
				return err
			}
			for _, svc := range m.Services {
				for _, u := range svc.Upstreams {
					if u.Name == upstream {
						opts.Name, opts.Slots, opts.CheckFencing = u.Name, u.Slots, svc.FencingChecked
						srv := target.NewServer(opts)
						return serve(u.Addr, srv.Handler(), func() { srv.Drain(); time.Sleep(drainWait) })
					}
				}
			}
			return eris.Errorf("upstream %q is not in the manifest (--example %s, unless --manifest is set)", upstream, example)
		}}
	f := cmd.Flags()
	f.StringVar(&example, "example", "siam-sludge", "example manifest that lists the upstream")
	f.StringVar(&file, "manifest", "", "manifest file that lists the upstream (instead of --example)")
	f.StringVar(&upstream, "upstream", "", "upstream to serve, e.g. routeboard-01")
	f.DurationVar(&opts.WorkTime, "work-time", time.Millisecond, "time one request takes")
	f.DurationVar(&opts.ColdStart, "cold-start", 0, "how long requests stay slow after startup")
	f.DurationVar(&opts.ColdWorkTime, "cold-work-time", 50*time.Millisecond, "time one request takes while cold")
	f.DurationVar(&opts.HealthLag, "health-lag", 0, "delay before the health endpoint reports draining")
	f.DurationVar(&drainWait, "drain-wait", 2*time.Second, "on SIGINT or SIGTERM, refuse new work this long before stopping")
	_ = cmd.MarkFlagRequired("upstream")
	return cmd
}

// serve serves h on addr until SIGINT, SIGTERM or a failure of the server. It then
// calls beforeStop, unless that is nil, and shuts the server down.
func serve(addr string, h http.Handler, beforeStop func()) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	var g run.Group
	g.Add(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		if beforeStop != nil {
			beforeStop()
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err = g.Run()
	var se run.SignalError
	if errors.As(err, &se) {
		return nil
	}
	return err
}
