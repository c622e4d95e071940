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
		Short: "List or clear requests that are refused as they end their servers",
		Long: "Requests are named by their content, as it stands in the logs. On the platform one host's --peer address\n" +
			"is enough, as all hosts share what they refuse; with --admin each host is asked, as each counts for itself."}
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
	list := &cobra.Command{Use: "list", Short: "List what is refused", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return listRefused(cmd, urls()) }}
	clear := &cobra.Command{Use: "clear CONTENT", Short: "Have a content served again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return clearRefused(cmd, urls(), args[0]) }}
	cmd.AddCommand(list, clear)
	return cmd
}

// refusedClient returns a client for the host at the URL.
func refusedClient(url string) refusedpb.Refused {
	return refusedpb.NewRefusedProtobufClient(url, &http.Client{Timeout: hostTimeout})
}

func listRefused(cmd *cobra.Command, urls []string) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 4, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tCONTENT\tREFUSED FOR\tSERVERS THAT ENDED")
	ask := func(ctx context.Context, url string) (*refusedpb.ListReply, error) {
		return refusedClient(url).List(ctx, &refusedpb.ListRequest{})
	}
	err := forEachHost(cmd, urls, ask, func(reply *refusedpb.ListReply) error {
		for _, x := range reply.Contents {
			left := time.Duration(x.LeftMs/time.Second.Milliseconds()) * time.Second
			fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", reply.Host, x.Content, left, strings.Join(x.Servers, " "))
		}
		return nil
	})
	if flushed := w.Flush(); err == nil {
		err = flushed
	}
	return err
}

func clearRefused(cmd *cobra.Command, urls []string, content string) error {
	known := false
	ask := func(ctx context.Context, url string) (*refusedpb.ClearReply, error) {
		return refusedClient(url).Clear(ctx, &refusedpb.ClearRequest{Content: content})
	}
	err := forEachHost(cmd, urls, ask, func(reply *refusedpb.ClearReply) error {
		known = known || reply.Known
		fmt.Fprintf(cmd.OutOrStdout(), "%s: cleared=%v\n", reply.Host, reply.Known)
		return nil
	})
	if err == nil && !known {
		return eris.Errorf("no host knows of servers that ended under %s", content)
	}
	return err
}
