package settings

import (
	"os"
	"strings"
	"testing"
	"time"
)

func TestExampleSettingsLoad(t *testing.T) {
	d, err := LoadDaemon("../../examples/papayatided.ini")
	if err != nil {
		t.Fatal(err)
	}
	if d.DataCentre != "bangna" || d.GrantTTL != time.Second || d.ProbeFailures != 3 {
		t.Fatalf("unexpected settings %+v", d)
	}
}

// The error for an invalid settings file must name the section and key at fault.
func TestInvalidSettingsErrorNamesKey(t *testing.T) {
	base, err := os.ReadFile("../../examples/papayatided.ini")
	if err != nil {
		t.Fatal(err)
	}
	good := string(base)
	cases := map[string]string{
		"[routing] grant_lease":  strings.Replace(good, "grant_lease     = 1s", "grant_lease = soon", 1),
		"[host] listen":          strings.Replace(good, "127.0.0.1:8081", "8081", 1),
		"unknown key \"colour\"": good + "\ncolour = red\n",
		"[log] addr":             strings.Replace(good, "addr          = http://127.0.0.1:7000", "", 1),
		"probe_failures":         strings.Replace(good, "probe_failures  = 3", "probe_failures = 0", 1),
	}
	for want, bad := range cases {
		_, err := ParseDaemon([]byte(bad))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want error naming %q, got %v", want, err)
		}
	}
}
