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

// hostTimeout bounds a question to one entry host.
const hostTimeout = 3 * time.Second

// printPeerStatus prints what the entry hosts at the given peer addresses believe.
func printPeerStatus(cmd *cobra.Command, addrs []string, verbose bool) error {
	return forEachHost(cmd, addrs, fetchPeerStatus, func(st *peerpb.StatusReply) error { return printHostStatus(cmd.OutOrStdout(), st, verbose) })
}

// forEachHost asks every host and shows its reply. It returns an error that names the
// hosts that did not answer.
func forEachHost[Reply any](cmd *cobra.Command, addrs []string, ask func(ctx context.Context, addr string) (Reply, error), show func(Reply) error) error {
	var failed []string
	for _, a := range addrs {
		reply, err := ask(cmd.Context(), a)
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

func fetchPeerStatus(ctx context.Context, addr string) (*peerpb.StatusReply, error) {
	c := peerpb.NewPeerProtobufClient("http://"+addr, &http.Client{Timeout: hostTimeout})
	st, err := c.Status(ctx, &peerpb.StatusRequest{})
	return st, eris.Wrapf(err, "peer %s: status", addr)
}

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

func ownerName(id string) string {
	if id == "" {
		return "(nobody)"
	}
	return id
}

// ownerSummary is what one owner has of a service.
type ownerSummary struct {
	owner        string
	ranges, keys int
	maxFence     int64
}

func printOwners(w io.Writer, s *peerpb.ServiceStatus) {
	by := map[string]*ownerSummary{}
	for _, r := range s.Ranges {
		h := by[r.Owner]
		if h == nil {
			h = &ownerSummary{owner: r.Owner}
			by[r.Owner] = h
		}
		h.ranges++
		h.keys += int(r.To-r.From) + 1
		h.maxFence = max(h.maxFence, r.Fence)
	}
	all := make([]*ownerSummary, 0, len(by))
	for _, h := range by {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].owner < all[j].owner })
	for _, h := range all {
		fmt.Fprintf(w, "    %s\t%d keys in %d ranges\tfence up to %d\n", ownerName(h.owner), h.keys, h.ranges, h.maxFence)
	}
}
