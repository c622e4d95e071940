package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/papayatide/papayatide/rpc/peerpb"
)

// hostTimeout bounds a call to one entry host.
const hostTimeout = 3 * time.Second

// printPeerStatus prints the status of the entry hosts at the given peer addresses.
func printPeerStatus(cmd *cobra.Command, addrs []string, verbose bool) error {
	return forEachHost(cmd, addrs, fetchPeerStatus, func(st *peerpb.StatusReply) error { return printHostStatus(cmd.OutOrStdout(), st, verbose) })
}

// forEachHost runs call for each address and passes its reply to show. It returns
// an error that names the addresses for which call failed.
func forEachHost[Reply any](cmd *cobra.Command, addrs []string, call func(ctx context.Context, addr string) (Reply, error), show func(Reply) error) error {
	var failed []string
	for _, a := range addrs {
		reply, err := call(cmd.Context(), a)
		if err != nil {
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", a, err)
			failed = append(failed, a)
			continue
		}
		if err := show(reply); err != nil {
			return err
		}
	}
	if len(failed) > 0 {
		return eris.Errorf("unreachable: %s", strings.Join(failed, ", "))
	}
	return nil
}

// fetchPeerStatus returns the status of the host at a peer address.
func fetchPeerStatus(ctx context.Context, addr string) (*peerpb.StatusReply, error) {
	c := peerpb.NewPeerProtobufClient("http://"+addr, &http.Client{Timeout: hostTimeout})
	st, err := c.Status(ctx, &peerpb.StatusRequest{})
	return st, eris.Wrapf(err, "peer %s: status", addr)
}

// printHostStatus prints a host's status, and each range of keys if verbose. The host is
// the planner ("plans"), follows another host's replica of the log, or reads the log
// service itself. "fence" is a fencing token.
func printHostStatus(out io.Writer, st *peerpb.StatusReply, verbose bool) error {
	w := tabwriter.NewWriter(out, 2, 4, 2, ' ', 0)
	role := "follows " + st.Follows
	switch {
	case st.Planning:
		role = "plans"
	case st.Follows == "":
		role = "reads the log itself"
	}
	fmt.Fprintf(w, "%s (%s): %s, view %d ms old, desired state %d, %d hosts, %d requests in flight\n",
		st.Host, st.DataCentre, role, st.ViewAgeMs, st.Version, st.Hosts, st.InFlight)
	if st.NewestVersion > st.Version {
		fmt.Fprintf(w, "  another host has desired state %d, known here for %.1f s\n", st.NewestVersion, float64(st.BehindMs)/1000)
	}
	for _, s := range st.Services {
		fmt.Fprintf(w, "  %s: term %d of %s, fence %d, %d ranges, lost owners: %s\n", s.Name, s.Term, s.Planner, s.Fence, len(s.Ranges),
			strings.Join(s.Lost, " "))
		printOwners(w, s)
		if verbose {
			for _, r := range s.Ranges {
				fmt.Fprintf(w, "    %d-%d\t%s\tfence %d\n", r.From, r.To, ownerName(r.Owner), r.Fence)
			}
		}
	}
	for _, c := range st.Changes {
		fmt.Fprintf(w, "  %.1f s ago\t%s\tterm %d fence %d\t%d keys moved\t%s\n", float64(c.AgeMs)/1000, c.Service, c.Term, c.Fence, c.Keys, c.Cause)
	}
	return w.Flush()
}

// ownerName returns the owner ID as printed: "(nobody)" if there is no owner.
func ownerName(id string) string {
	if id == "" {
		return "(nobody)"
	}
	return id
}

// ownerSummary sums up the ranges of a service that one owner has.
type ownerSummary struct {
	owner        string
	ranges, keys int
	maxToken     int64
}

// printOwners prints a summary of each owner, sorted by ID.
func printOwners(w io.Writer, s *peerpb.ServiceStatus) {
	byOwner := map[string]*ownerSummary{}
	for _, r := range s.Ranges {
		summary := byOwner[r.Owner]
		if summary == nil {
			summary = &ownerSummary{owner: r.Owner}
			byOwner[r.Owner] = summary
		}
		summary.ranges++
		summary.keys += int(r.To-r.From) + 1
		summary.maxToken = max(summary.maxToken, r.Fence)
	}
	all := make([]*ownerSummary, 0, len(byOwner))
	for _, summary := range byOwner {
		all = append(all, summary)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].owner < all[j].owner })
	for _, summary := range all {
		fmt.Fprintf(w, "    %s\t%d keys in %d ranges\tfence up to %d\n", ownerName(summary.owner), summary.keys, summary.ranges, summary.maxToken)
	}
}
