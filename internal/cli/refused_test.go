package cli

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/refused"
	"github.com/papayatide/papayatide/rpc/refusedpb"
)

// The commands must list refused fingerprints and make hosts serve them again. They
// must fail if no host refuses the fingerprint or a host is unreachable.
func TestListAndClearRefusedFingerprints(t *testing.T) {
	tracker, now := crashes.NewTracker(nil), time.Now()
	const fingerprint = "39542d3733239a3db13ec1bc4bff5994"
	for _, server := range []string{"s1", "s2", "s3"} {
		tracker.RecordCrash(crashes.Crash{Fingerprint: fingerprint, Server: server, At: now})
	}
	srv := httptest.NewServer(refusedpb.NewRefusedServer(&refused.Server{Host: "front-1", Crashes: tracker, Log: zap.NewNop()}))
	defer srv.Close()
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		cmd := Command()
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs(append([]string{"refused"}, args...))
		err := cmd.Execute()
		return out.String(), err
	}
	peer := strings.TrimPrefix(srv.URL, "http://")
	out, err := run("list", "--peer", peer)
	if err != nil || !strings.Contains(out, fingerprint) || !strings.Contains(out, "s1 s2 s3") || !strings.Contains(out, "front-1") {
		t.Errorf("list: %v\n%s", err, out)
	}
	if out, err = run("clear", fingerprint, "--admin", srv.URL); err != nil || !strings.Contains(out, "front-1: cleared=true") {
		t.Errorf("clear: %v\n%s", err, out)
	}
	if left := tracker.RefusedFor(fingerprint, now); left > 0 {
		t.Errorf("still refused for %v", left)
	}
	if out, err = run("list", "--admin", srv.URL); err != nil || strings.Contains(out, fingerprint) {
		t.Errorf("list after clear: %v\n%s", err, out)
	}
	if _, err = run("clear", fingerprint, "--peer", peer); err == nil {
		t.Error("clear succeeds for a fingerprint that no host refuses")
	}
	if _, err = run("list", "--peer", "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), "127.0.0.1:1") {
		t.Errorf("error %v, want one that names the unreachable host", err)
	}
}
