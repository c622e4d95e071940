// Command papayatided is the papayatide entry-host daemon.
//
// Usage:
//
//	papayatided -config FILE   on hosts with manifests and hashed shards
//	papayatided entry          on the users' platform; see docs/PLATFORM.md
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	run := runDaemon
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		run = runEntryHost
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "papayatided:", err)
		os.Exit(exitCode(err))
	}
}

// Exit codes. A supervisor need not start again what has bad settings.
const (
	exitFailed   = 1
	exitSettings = 2
)

// settingsError says that the settings are not valid.
type settingsError struct{ error }

func (e settingsError) Unwrap() error { return e.error }

func exitCode(err error) int {
	var bad settingsError
	if errors.As(err, &bad) {
		return exitSettings
	}
	return exitFailed
}
