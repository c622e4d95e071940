// Command papayatide is the operator's command-line tool for papayatide.
package main

import (
	"os"

	"github.com/papayatide/papayatide/internal/cli"
)

func main() {
	if err := cli.Command().Execute(); err != nil {
		os.Exit(1)
	}
}
