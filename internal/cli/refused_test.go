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

// Operators must be able to see what is refused and to have it served again; what no
// host refuses, and hosts that cannot be reached, make the command fail.
func TestListAndClearRefusedFingerprints(t *testing.T) {
	ledger, now := crashes.NewTracker(nil), time.Now()
	const content = "39542d3733239a3db13ec1bc4bff5994"
	for _, server := range []string{"s1", "s2", "s3"} {
		ledger.RecordCrash(crashes.Crash{Fingerprint: content, Server: server, At: now})
	}
	srv := httptest.NewServer(refusedpb.NewRefusedServer(&refused.Server{Host: "front-1", Crashes: ledger, Log: zap.NewNop()}))
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
	if err != nil || !strings.Contains(out, content) || !strings.Contains(out, "s1 s2 s3") || !strings.Contains(out, "front-1") {
		t.Errorf("list: %v\n%s", err, out)
	}
	if out, err = run("clear", content, "--admin", srv.URL); err != nil || !strings.Contains(out, "front-1: cleared=true") {
		t.Errorf("clear: %v\n%s", err, out)
	}
	if left := ledger.RefusedFor(content, now); left > 0 {
		t.Errorf("still refused for %v", left)
	}
	if out, err = run("list", "--admin", srv.URL); err != nil || strings.Contains(out, content) {
		t.Errorf("list after clear: %v\n%s", err, out)
	}
	if _, err = run("clear", content, "--peer", peer); err == nil {
		t.Error("clearing what nobody refuses does not fail")
	}
	if _, err = run("list", "--peer", "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), "127.0.0.1:1") {
		t.Errorf("error %v, want one that names the host", err)
	}
}
