package target

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/manifest"
)

// A target accepts the connection and never responds. The error must show both the
// timeout and that the request may have run.
func TestForwardErrorsWrapTheirCause(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	u := &manifest.Upstream{Name: "t1", Addr: ln.Addr().String(), Connections: 1}
	req := &Request{Method: "POST", Service: "s", Key: "k", Deadline: time.Now().Add(50 * time.Millisecond)}
	_, err = NewClient().Forward(context.Background(), u, req)
	if !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, ErrNoResponse) {
		t.Errorf("error %v, want one that wraps DeadlineExceeded and ErrNoResponse", err)
	}
}
