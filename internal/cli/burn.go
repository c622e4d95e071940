package cli

import (
	"fmt"
	"net/http"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/papayatide/papayatide/internal/burn"
	"github.com/papayatide/papayatide/rpc/adminpb"
)

func burnCommand() *cobra.Command {
	var admins []string
	var availability, latency float64
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Report burn rates of service-level objectives across entry hosts",
		Long: `Burn sums the request counts of all entry hosts per service over the last 5
minutes and the last hour, and prints the burn rate of each objective. A rate
of 1 spends the error budget exactly in the objective's period. A rate of 14
or more in both windows should page the operator, 1 to 6 should open a ticket.

REFUSED counts only requests refused for reasons that the caller did not cause:
invalid requests and those to unknown services are not in it.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// sums is keyed by the service's index and the window in seconds.
			sums := map[[2]int64]*adminpb.WindowCounts{}
			serviceIndex := map[string]int64{}
			for _, a := range admins {
				c := adminpb.NewAdminProtobufClient(a, &http.Client{Timeout: 3 * time.Second})
				resp, err := c.Burn(cmd.Context(), &adminpb.BurnRequest{})
				if err != nil {
					fmt.Fprintf(cmd.ErrOrStderr(), "%s is unreachable and not counted: %v\n", a, err)
					continue
				}
				for _, w := range resp.Windows {
					index, ok := serviceIndex[w.Service]
					if !ok {
						index = int64(len(serviceIndex))
						serviceIndex[w.Service] = index
					}
					k := [2]int64{index, w.WindowS}
					if sums[k] == nil {
						sums[k] = &adminpb.WindowCounts{Service: w.Service, WindowS: w.WindowS}
					}
					sums[k].Total += w.Total
					sums[k].Bad += w.Bad
					sums[k].Slow += w.Slow
				}
			}
			printBurn(cmd, sums, availability, latency)
			return nil
		}}
	cmd.Flags().StringSliceVar(&admins, "admin", []string{"http://127.0.0.1:9081"}, "admin URLs of entry hosts")
	cmd.Flags().Float64Var(&availability, "availability", 0.999, "availability objective: share of requests not refused, as counted in column REFUSED")
	cmd.Flags().Float64Var(&latency, "latency", 0.99, "share of requests that must take no longer than the latency objective (latency in section [objectives] of the hosts' settings)")
	return cmd
}

// formatBurnRate returns the burn rate as printed, or the minimum number of requests if
// there were fewer. objective is the share of requests that must not be bad.
func formatBurnRate(bad, total int64, objective float64) string {
	if minRequests := burn.MinRequests(objective); total < minRequests {
		return fmt.Sprintf("under %d requests", minRequests)
	}
	return fmt.Sprintf("%.2f", burn.Rate(bad, total, objective))
}

// printBurn prints one row per service and window, sorted by both. availability and latency
// are the shares of requests that must not be bad and must not be slow.
func printBurn(cmd *cobra.Command, sums map[[2]int64]*adminpb.WindowCounts, availability, latency float64) {
	rows := make([]*adminpb.WindowCounts, 0, len(sums))
	for _, w := range sums {
		rows = append(rows, w)
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Service != rows[j].Service {
			return rows[i].Service < rows[j].Service
		}
		return rows[i].WindowS < rows[j].WindowS
	})
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "SERVICE\tWINDOW\tREQUESTS\tREFUSED\tAVAIL BURN\tSLOW\tLATENCY BURN")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%d\t%s\n", r.Service, time.Duration(r.WindowS)*time.Second,
			r.Total, r.Bad, formatBurnRate(r.Bad, r.Total, availability), r.Slow, formatBurnRate(r.Slow, r.Total, latency))
	}
}
