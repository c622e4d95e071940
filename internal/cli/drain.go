package cli

import (
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

func drainCommand() *cobra.Command {
	var upstream string
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain",
		Short: "Remove an upstream from placement for a planned stop, or allow it again (--undo)",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return drain(cmd, upstream, undo)
		}}
	cmd.Flags().StringVar(&upstream, "upstream", "", "upstream to drain, e.g. routeboard-03")
	cmd.Flags().BoolVar(&undo, "undo", false, "allow a drained upstream in placement again")
	_ = cmd.MarkFlagRequired("upstream")
	return cmd
}

// drain appends a members record that leaves out the upstream and marks it as drained,
// or with undo one that removes the mark. It appends at the placement stream's next
// offset and retries if another record took that offset.
func drain(cmd *cobra.Command, upstream string, undo bool) error {
	logc := logClient(cmd)
	ctx := cmd.Context()
	rec, _, err := logc.Last(ctx, logservice.StreamManifests)
	if err != nil {
		return err
	}
	if rec == nil {
		return eris.New("no manifest published")
	}
	m, err := manifest.Parse(rec.Data)
	if err != nil {
		return err
	}
	svc, dc := findUpstream(m, upstream)
	if svc == "" {
		return eris.Errorf("upstream %q is not in the current manifest", upstream)
	}
	for attempt := 0; attempt < 5; attempt++ {
		cur, next, err := currentState(cmd, logc, svc, dc)
		if err != nil {
			return err
		}
		s := placement.State{Service: svc, DataCentre: dc, Members: cur.Members, Drained: cur.Drained}
		if undo {
			s.Drained = slices.DeleteFunc(slices.Clone(s.Drained), func(n string) bool { return n == upstream })
		} else {
			s.Members = slices.DeleteFunc(slices.Clone(s.Members), func(n string) bool { return n == upstream })
			if !slices.Contains(s.Drained, upstream) {
				s.Drained = append(slices.Clone(s.Drained), upstream)
			}
		}
		data, err := (&placement.Record{Kind: placement.KindMembers, State: &s, By: "operator"}).Encode()
		if err != nil {
			return err
		}
		off, err := logc.AppendAt(ctx, logservice.StreamPlacement, data, next)
		if errors.Is(err, logservice.ErrConflict) {
			continue
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: drained=%v at epoch %d\n", upstream, !undo, off)
		return nil
	}
	return eris.New("placement changed during every attempt; retry the command")
}

// findUpstream returns the service and data centre of the named upstream, or empty
// strings.
func findUpstream(m *manifest.Manifest, name string) (string, string) {
	for _, s := range m.Services {
		for _, u := range s.Upstreams {
			if u.Name == name {
				return s.Name, u.DataCentre
			}
		}
	}
	return "", ""
}

// currentState reads the whole placement stream. It returns the latest state of svc in
// dc and the stream's next offset.
func currentState(cmd *cobra.Command, logc *logservice.Client, svc, dc string) (placement.State, int64, error) {
	var cur placement.State
	next, err := logc.Scan(cmd.Context(), logservice.StreamPlacement, 0, func(int64) {}, func(r *logsvcpb.Record) {
		rec, err := placement.DecodeRecord(r.Data)
		if err != nil {
			return // entry hosts log and skip it as well
		}
		for _, s := range recordStates(rec) {
			if s.Service == svc && s.DataCentre == dc {
				cur = s
			}
		}
	})
	return cur, next, err
}

// recordStates returns the states in a record of any kind.
func recordStates(r *placement.Record) []placement.State {
	if r.Kind == placement.KindMembers {
		return []placement.State{*r.State}
	}
	return r.States
}
