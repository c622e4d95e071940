package target

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/manifest"
)

// Guards against a response that is too long for the client and reaches the caller as a whole one, and
// against grants and probes that read a response without end until their deadline.
func TestEndlessResponseIsNoResponse(t *testing.T) {
	block := []byte(strings.Repeat("b", 64<<10))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	defer srv.Close()
	u := &manifest.Upstream{Name: "u1", Addr: srv.Listener.Addr().String(), Connections: 4}
	const timeout = 3 * time.Second
	c := NewClient()
	for name, call := range map[string]func(context.Context) error{
		"request": func(ctx context.Context) error {
			resp, err := c.Forward(ctx, u, &Request{Method: http.MethodPost, Service: "s", Key: "k", RequestID: "r"})
			if resp != nil || !errors.Is(err, ErrNoResponse) {
				t.Errorf("got response %v, error %v", resp != nil, err)
			}
			return err
		},
		"grant": func(ctx context.Context) error { _, err := c.SendGrant(ctx, u, &Grant{}); return err },
		"probe": func(ctx context.Context) error { return c.Probe(ctx, u) },
	} {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		began := time.Now()
		if err := call(ctx); err == nil || ctx.Err() != nil {
			t.Errorf("%s: error %v after %v", name, err, time.Since(began))
		}
		cancel()
	}
}
