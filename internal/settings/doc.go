// Package settings loads and validates the daemon's INI settings files
// (gopkg.in/ini.v1). All keys are validated at start. The first problem is
// returned as one error that names the section and key. Unknown sections and
// keys are rejected, so that a misspelt key is not silently ignored.
package settings
