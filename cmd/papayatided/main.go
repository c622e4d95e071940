// Command papayatided is the papayatide entry-host daemon.
//
// Usage:
//
//	papayatided -config FILE   for deployments with a published manifest, whose keys are
//	                           hashed to shards
//	papayatided entry          on the platform; see docs/PLATFORM.md
//
// The platform is the users' hosting platform. It starts the host, fills in its settings
// file, and provides the append-only log service that holds the upstreams, the desired
// state and the ownership of keys.
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	run := runWithManifest
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		run = runOnPlatform
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "papayatided:", err)
		os.Exit(exitCode(err))
	}
}

// Exit codes. After exitSettings, a supervisor need not restart the daemon until its
// settings change.
const (
	exitFailed   = 1
	exitSettings = 2
)

// settingsError marks an error in the settings.
type settingsError struct{ error }

func (e settingsError) Unwrap() error { return e.error }

// exitCode returns the exit code of the process for an error of its run.
func exitCode(err error) int {
	var invalid settingsError
	if errors.As(err, &invalid) {
		return exitSettings
	}
	return exitFailed
}
