package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayatide/papayatide/internal/protocol"
)

// Guards against the next request being sent on the connection of a crash check, which an upstream with
// too many connections resets 1 ms after accepting it: the outcome would be unknown.
func TestRejectedConnectionOfCrashCheckIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(protocol.Headers{RequestID: "X-Id", TimeoutMs: "X-Timeout-Ms", ExpectedUpstream: "X-Expect", NotRun: "X-Not-Run"})
		c.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			time.AfterFunc(time.Millisecond, func() { _ = far.Close() })
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		to := Target{ID: "u1", Addr: "u1:80"}
		if c.PortClosed(ctx, to) {
			t.Error("the port counts as closed")
		}
		if res := c.Do(ctx, to, &Request{ID: "r1", Method: "POST", URI: "/", Host: "a.example"}); res.Outcome != NotSent || !res.ConnRejected {
			t.Errorf("%v, connection rejected %v; want not sent, true", res.Outcome, res.ConnRejected)
		}
	})
}
