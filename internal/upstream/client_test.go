package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
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
		if err := c.Connect(ctx, to); err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("connecting to an upstream that resets the connection: %v", err)
		}
		if res := c.Do(ctx, to, &Request{ID: "r1", Method: "POST", URI: "/", Host: "a.example"}); res.Outcome != NotSent || !res.ConnRejected {
			t.Errorf("%v, connection rejected %v; want not sent, true", res.Outcome, res.ConnRejected)
		}
	})
}

// Guards against missing the end of an upstream to which no request is sent meanwhile: the
// closed idle connection is its only sign. It must be found once, on a socket as well as on a
// connection in memory. An idle connection that is open, or whose idle timeout has passed, and
// a single old one that the upstream closes, are no sign.
func TestConnectionsClosedWhileIdleAreFound(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	dials := map[string]func() (near, far net.Conn){
		"socket": func() (net.Conn, net.Conn) {
			near, err := net.Dial("tcp4", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			far, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			return near, far
		},
		"memory": net.Pipe,
	}
	for name, dial := range dials {
		t.Run(name, func(t *testing.T) {
			c, now := NewClient(protocol.Headers{}), time.Now()
			p := c.poolFor(Target{ID: "u1"})
			var far []net.Conn
			for range 3 {
				near, f := dial()
				p.put(&conn{Conn: near, in: &headReader{source: near}, br: bufio.NewReader(near), idleUntil: now.Add(time.Minute)})
				far = append(far, f)
			}
			wantFound := func(step string, want int, at time.Time) {
				t.Helper()
				time.Sleep(20 * time.Millisecond) // until the end of a socket has arrived
				if got := c.ClosedIdle(at); len(got) != want {
					t.Errorf("%s: found %v, want %d", step, got, want)
				}
			}
			wantFound("all open", 0, now)
			_ = far[0].Close()
			wantFound("the oldest closed", 0, now)
			_ = far[2].Close()
			wantFound("the newest closed after its idle timeout", 0, now.Add(time.Hour))
			wantFound("the newest closed", 1, now)
			if len(p.idle) != 2 || !p.idle[1].healthy() {
				t.Errorf("%d connections left, want the two older ones", len(p.idle))
			}
			_ = far[1].Close()
			wantFound("all closed", 1, now)
			wantFound("none left", 0, now)
		})
	}
}
