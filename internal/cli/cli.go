package cli

import (
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/papayatide/papayatide/internal/logservice"
)

// Command returns the papayatide root command with all subcommands.
func Command() *cobra.Command {
	root := &cobra.Command{Use: "papayatide", Short: "Operate papayatide entry hosts", SilenceUsage: true}
	root.PersistentFlags().String("log", "http://127.0.0.1:7000", "base URL of the log service")
	root.AddCommand(publishCommand(), statusCommand(), drainCommand(), burnCommand(), explainCommand(), refusedCommand())
	return root
}

// logClient returns a client of the log service at --log.
func logClient(cmd *cobra.Command) *logservice.Client {
	baseURL, _ := cmd.Flags().GetString("log")
	return logservice.New(baseURL, &http.Client{Timeout: 5 * time.Second})
}
