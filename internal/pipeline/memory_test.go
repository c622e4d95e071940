package pipeline

import (
	"bufio"
	"strings"
	"testing"
	"time"
)

// Guards against connections that together run ahead, or hold, more than the host has room for: beyond the bounds
// requests are served one at a time, and what was held is given back.
func TestConnectionsShareBounds(t *testing.T) {
	const maxAhead, maxBytes, conns = 3, 16 << 10, 4
	s := startServer(t, true)
	s.pipe.MaxAhead, s.pipe.MaxBytes = maxAhead, maxBytes
	input := get("/0?sleep=100ms") + get("/1?big") + get("/2?sleep=10ms&x="+strings.Repeat("x", 30<<10)) + get("/3")
	var open []*bufio.Reader
	for range conns {
		open = append(open, bufio.NewReader(s.dial(t, input)))
	}
	for end := time.Now().Add(80 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if n := s.pipe.undelivered.Load(); n > maxAhead+conns {
			t.Fatalf("%d requests run ahead", n)
		}
		if n := s.pipe.bytes.Load(); n > maxBytes {
			t.Fatalf("%d bytes held", n)
		}
	}
	for _, br := range open {
		want(t, br, 4)
	}
	eventually(t, "bytes are not given back", func() bool { return s.pipe.bytes.Load() == 0 })
}
