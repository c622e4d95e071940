// Command papayatided is the papayatide entry-host daemon.
//
// Usage:
//
//	papayatided -config FILE   on hosts with manifests and hashed shards
//	papayatided entry          on the users' platform; see docs/PLATFORM.md
package main

import (
	"fmt"
	"os"
)

func main() {
	run := runDaemon
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		run = runEntry
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "papayatided:", err)
		os.Exit(1)
	}
}
