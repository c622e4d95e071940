// Package settings loads and validates papayatided's INI settings files
// (gopkg.in/ini.v1): type EntryHost for an entry host on the platform
// (papayatided entry), type Daemon for an entry host that reads its services
// and upstreams from a manifest (papayatided -config FILE).
//
// All keys but attempt_timeout are validated when the file is loaded. The first
// problem is returned as one error that names the section and key. Unknown
// sections and keys are rejected, so that a misspelt key is not silently ignored.
package settings
