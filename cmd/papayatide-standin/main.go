// Command papayatide-standin runs stand-ins for the servers that papayatide uses: the
// append-only log service and target servers.
package main

import (
	"os"

	"github.com/papayatide/papayatide/internal/standin/cli"
)

func main() {
	if err := cli.Command().Execute(); err != nil {
		os.Exit(1)
	}
}
