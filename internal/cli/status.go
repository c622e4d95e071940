package cli

import (
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/papayatide/papayatide/rpc/adminpb"
)

func statusCommand() *cobra.Command {
	var admins, peers []string
	var verbose bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the status of entry hosts",
		Long: "With --admin, shows the manifest and placement of hosts. With --peer, shows hosts on the platform, at the\n" +
			"address that is peer_listen in their settings: which host is the planner (\"plans\"), whose replica of\n" +
			"the log a host follows, the age of its view, the version of the desired state, the owners of keys with\n" +
			"their fencing tokens (\"fence\"), and the last changes of ownership with their causes. Exits with 1 if\na host is unreachable.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(peers) > 0 {
				return printPeerStatus(cmd, peers, verbose)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 4, 2, ' ', 0)
			defer w.Flush()
			fmt.Fprintln(w, "HOST\tDC\tDEPLOYMENT\tMANIFEST\tEPOCH\tVIEW AGE\tMEMBERS")
			var failed []string
			for _, a := range admins {
				c := adminpb.NewAdminProtobufClient(a, &http.Client{Timeout: 3 * time.Second})
				st, err := c.Status(cmd.Context(), &adminpb.StatusRequest{})
				if err != nil {
					fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\tunreachable: %v\n", a, err)
					failed = append(failed, a)
					continue
				}
				members, upstreams := 0, 0
				for _, s := range st.Services {
					for _, u := range s.Upstreams {
						upstreams++
						if u.Member {
							members++
						}
					}
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%dms\t%d/%d\n", st.Host, st.DataCentre, st.Deployment,
					st.ManifestOffset, st.PlacementEpoch, st.ViewAgeMs, members, upstreams)
				if verbose {
					printServices(w, st)
				}
			}
			if len(failed) > 0 {
				return fmt.Errorf("unreachable: %s", strings.Join(failed, ", "))
			}
			return nil
		}}
	cmd.Flags().StringSliceVar(&admins, "admin", []string{"http://127.0.0.1:9081"}, "admin URLs of entry hosts")
	cmd.Flags().StringSliceVar(&peers, "peer", nil, "peer addresses (host:port) of entry hosts on the platform")
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "with --admin, list every upstream; with --peer, every range of keys")
	return cmd
}

// printServices prints one row per upstream. Its state is "out" if it is not a member of
// its service's placement.
func printServices(w *tabwriter.Writer, st *adminpb.StatusResponse) {
	for _, s := range st.Services {
		for _, u := range s.Upstreams {
			state := "out"
			if u.Member {
				state = "member"
			}
			fmt.Fprintf(w, "  %s\t%s\t%s\t\t%d\t\t%s, %d shards\n", s.Name, u.DataCentre, u.Name, s.Epoch, state, u.Shards)
		}
	}
}
