package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/papayatide/papayatide/platform"
)

// A host that is started with invalid settings must exit with 2, so that a supervisor
// does not restart it, and the error must name the section.
func TestInvalidSettingsExitCode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	if err := os.WriteFile(path, []byte("[host]\nname = h\nlisten = nowhere\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsEnv, path)
	err := runOnPlatform()
	if err == nil || exitCode(err) != exitSettings || !strings.Contains(err.Error(), "[host]") {
		t.Errorf("error %v, exit code %d", err, exitCode(err))
	}
}
