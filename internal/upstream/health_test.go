package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/protocol"
)

// Guards against a health check that takes another server's response, or a lack of room, for the upstream's
// statement about itself.
func TestHealthCheckReadsUpstreamsStatement(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		server string
		notRun bool
		want   Health
	}{
		"healthy":         {200, "u1", false, Healthy},
		"leaving":         {503, "u1", false, Unhealthy},
		"full":            {503, "u1", true, Busy},
		"rate limited":    {429, "", true, Busy},
		"other server":    {200, "u2", false, NoResponse},
		"no server ID":    {200, "", false, Unsupported},
		"misdirected":     {421, "", true, NoResponse},
		"not implemented": {400, "", true, Unsupported},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.server != "" {
					w.Header().Set("X-Server", c.server)
				}
				if c.notRun {
					w.Header().Set("X-Not-Run", "1")
				}
				w.WriteHeader(c.status)
			}))
			defer srv.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			client := NewClient(protocol.Headers{RequestID: "X-Id", TimeoutMs: "X-Timeout-Ms", ServerID: "X-Server", NotRun: "X-Not-Run"})
			got, err := client.CheckHealth(ctx, Target{ID: "u1@7", Addr: srv.Listener.Addr().String()}, "/health")
			if got != c.want || err != nil {
				t.Errorf("got %v %v, want %v", got, err, c.want)
			}
		})
	}
}

// Guards against an upstream that counts as busy or healthy although nothing listens at its address.
func TestHealthCheckOfEndedUpstream(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if got, err := NewClient(protocol.Headers{}).CheckHealth(ctx, Target{ID: "u1", Addr: ln.Addr().String()}, "/health"); got != NoResponse || err == nil {
		t.Errorf("got %v %v", got, err)
	}
}
