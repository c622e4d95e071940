// Command papayatide is the command-line tool for operators of papayatide.
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
