// Package settings loads and checks the daemon's INI settings
// (gopkg.in/ini.v1) in one place. Every key is checked at start; the first
// problem is returned as one error naming the section and key, and unknown
// sections or keys are refused so a misspelling is not silently ignored.
package settings
