package cli

import (
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

func burnCommand() *cobra.Command {
	return &cobra.Command{Use: "burn", Short: "Report service-level burn across entry hosts",
		RunE: func(*cobra.Command, []string) error { return eris.New("not built yet") }}
}
