package cli

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/papayatide/papayatide/rpc/refusedpb"
)

func refusedCommand() *cobra.Command {
	var admins, peers []string
	cmd := &cobra.Command{
		Use:   "refused",
		Short: "List or clear requests that are refused because they crash their servers",
		Long: "Requests are identified by their fingerprint, which lists and logs call content. SERVERS THAT ENDED are the\nservers that crashed while they ran such requests. " +
			"On the platform, the --peer address of one\nhost is enough, as all hosts share refusals; with --admin, give all hosts, as each counts crashes by itself."}
	cmd.PersistentFlags().StringSliceVar(&admins, "admin", []string{"http://127.0.0.1:9081"}, "admin URLs of entry hosts")
	cmd.PersistentFlags().StringSliceVar(&peers, "peer", nil, "peer addresses (host:port) of entry hosts on the platform")
	urls := func() []string {
		if len(peers) == 0 {
			return admins
		}
		var out []string
		for _, p := range peers {
			out = append(out, "http://"+p)
		}
		return out
	}
	list := &cobra.Command{Use: "list", Short: "List refused requests", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return listRefused(cmd, urls()) }}
	clear := &cobra.Command{Use: "clear CONTENT", Short: "Stop refusing the requests with the fingerprint CONTENT", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return clearRefused(cmd, urls(), args[0]) }}
	cmd.AddCommand(list, clear)
	return cmd
}

// refusedClient returns a client of the host with the base URL url.
func refusedClient(url string) refusedpb.Refused {
	return refusedpb.NewRefusedProtobufClient(url, &http.Client{Timeout: hostTimeout})
}

// listRefused prints the fingerprints that the hosts refuse.
func listRefused(cmd *cobra.Command, urls []string) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 4, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tCONTENT\tREFUSED FOR\tSERVERS THAT ENDED")
	call := func(ctx context.Context, url string) (*refusedpb.ListReply, error) {
		return refusedClient(url).List(ctx, &refusedpb.ListRequest{})
	}
	err := forEachHost(cmd, urls, call, func(reply *refusedpb.ListReply) error {
		for _, entry := range reply.Contents {
			left := time.Duration(entry.LeftMs/time.Second.Milliseconds()) * time.Second
			fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", reply.Host, entry.Content, left, strings.Join(entry.Servers, " "))
		}
		return nil
	})
	if flushErr := w.Flush(); err == nil {
		err = flushErr
	}
	return err
}

// clearRefused makes the hosts serve a fingerprint again. It fails if no host has
// recorded a crash for it.
func clearRefused(cmd *cobra.Command, urls []string, fingerprint string) error {
	known := false
	call := func(ctx context.Context, url string) (*refusedpb.ClearReply, error) {
		return refusedClient(url).Clear(ctx, &refusedpb.ClearRequest{Content: fingerprint})
	}
	err := forEachHost(cmd, urls, call, func(reply *refusedpb.ClearReply) error {
		known = known || reply.Known
		fmt.Fprintf(cmd.OutOrStdout(), "%s: cleared=%v\n", reply.Host, reply.Known)
		return nil
	})
	if err == nil && !known {
		return eris.Errorf("no host has a record of servers that crashed while they ran requests with fingerprint %s", fingerprint)
	}
	return err
}
