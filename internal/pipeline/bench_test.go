package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkCaller measures one request at a time on one connection, and 8 pipelined
// requests of which the first takes 1 s and the others 170 ms, without and with reading
// ahead.
func BenchmarkCaller(b *testing.B) {
	const common = "User-Agent: bench\r\nAccept: */*\r\nX-Id: q-1234567\r\nX-Timeout-Ms: 1200\r\nX-Key: 23456\r\n\r\n"
	pipelined := get("/0?sleep=1s")
	for i := 1; i < 8; i++ {
		pipelined += get(fmt.Sprintf("/%d?sleep=170ms", i))
	}
	for n, input := range map[int]string{1: "GET /0 HTTP/1.1\r\nHost: read\r\n" + common, 8: pipelined} {
		for _, readAhead := range []bool{false, true} {
			b.Run(fmt.Sprintf("requests=%d/ahead=%v", n, readAhead), func(b *testing.B) {
				s := startServer(b, readAhead)
				c := s.dial(b, "")
				br := bufio.NewReader(c)
				b.ReportAllocs()
				for b.Loop() {
					_, _ = io.WriteString(c, input)
					want(b, br, n)
				}
			})
		}
	}
}

// chunkConn returns input in chunks whose sizes are derived from sizes.
type chunkConn struct {
	net.Conn
	input, sizes []byte
	reads        int
}

func (c *chunkConn) Close() error { return nil }

func (c *chunkConn) Read(p []byte) (int, error) {
	if len(c.input) == 0 {
		return 0, io.EOF
	}
	n := len(c.input)
	if len(c.sizes) > 0 {
		n = 1 + 3*int(c.sizes[c.reads%len(c.sizes)])
		c.reads++
	}
	n = copy(p, c.input[:min(n, len(c.input))])
	c.input = c.input[n:]
	return n, nil
}

// Guards against bytes that are lost, changed or reordered on their way to net/http,
// for any input, sizes of reads, and order of handlers and background reads.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(get("/0")+get("/1")+"POST / HTTP/1.1\r\nHost: read\r\nContent-Length: 2\r\n\r\nhi"+get("/2")), []byte{7, 200}, []byte{0, 3, 1, 2})
	f.Add([]byte(get("/0")+get("/1")+"X\n\n"+get("/2")), []byte{}, []byte{0, 3, 1, 4, 1, 0})
	f.Fuzz(func(t *testing.T, input, sizes, steps []byte) {
		s := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
			Idempotent: func(*http.Request) bool { return true }, Stopping: func() bool { return false }}
		c := &Conn{Conn: &chunkConn{input: input, sizes: sizes}, s: s}
		var got []byte
		entered := false
		for i := 0; ; i++ {
			p := make([]byte, 4096)
			step := byte(0)
			if len(steps) > 0 {
				step = steps[i%len(steps)] % 5
			}
			switch {
			case step == 1: // net/http's background read
				p = p[:1]
			case step == 2:
				p = p[:2+i%50]
			case step == 3 && !entered:
				c.enter(frontRequest)
				entered = true
			case step == 4 && entered:
				c.exit()
				entered = false
			}
			n, err := c.Read(p)
			got = append(got, p[:n]...)
			if err != nil && len(p) > 1 {
				break
			}
			if err != nil { // in the background: the rest is still read
				steps = nil
			}
		}
		if string(got) != string(input) {
			t.Fatalf("handed over %q, received %q", got, input)
		}
		_ = c.Close()
	})
}
