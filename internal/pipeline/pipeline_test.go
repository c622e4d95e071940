package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// testServer serves paths of the form /NAME?sleep=DURATION&... and records when their
// handlers start and end.
type testServer struct {
	pipe     *Server
	http     *http.Server
	addr     string
	stopping atomic.Bool
	mu       sync.Mutex
	events   []string
	canceled atomic.Int64
}

func startServer(t testing.TB, readAhead bool) *testServer {
	s := &testServer{}
	s.pipe = &Server{Handler: s, Idempotent: func(r *http.Request) bool { return r.Host != "charge" }, Stopping: s.stopping.Load}
	s.http = &http.Server{Handler: s}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.addr = ln.Addr().String()
	if readAhead {
		s.http.Handler, s.http.ConnContext, ln = s.pipe, ConnContext, s.pipe.Listen(ln)
	}
	go func() { _ = s.http.Serve(ln) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

func (s *testServer) record(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
}

// recorded returns the events so far.
func (s *testServer) recorded() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.events)
}

// started returns the requests whose handlers have started, sorted.
func (s *testServer) started() []string {
	return slices.Sorted(slices.Values(slices.DeleteFunc(s.recorded(), func(e string) bool { return !strings.HasPrefix(e, "start") })))
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.record("start " + r.URL.Path)
	defer s.record("end " + r.URL.Path)
	body, _ := io.ReadAll(r.Body)
	q := r.URL.Query()
	if d, err := time.ParseDuration(q.Get("sleep")); err == nil {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			s.canceled.Add(1)
		}
	}
	if q.Has("panic") {
		panic(http.ErrAbortHandler)
	}
	if q.Has("invalid") {
		w.WriteHeader(42)
	}
	if q.Has("close") {
		w.Header().Set("Connection", "close")
	}
	if q.Has("big") {
		body = make([]byte, 300<<10)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

func (s *testServer) dial(t testing.TB, input string) net.Conn {
	c, err := net.Dial("tcp4", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, input); err != nil {
		t.Fatal(err)
	}
	return c
}

// frontRequest is the request of get("/0") as net/http would pass it to its handler.
var frontRequest, _ = http.NewRequest(http.MethodGet, "http://read/0", http.NoBody)

func get(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: read\r\n\r\n" }

// want reads n responses, fails unless the i-th is to /i, and returns their Close flags.
func want(t testing.TB, br *bufio.Reader, n int) (closes []bool) {
	t.Helper()
	for i := range n {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		body, err := io.ReadAll(res.Body)
		if err != nil || !strings.Contains(string(body), fmt.Sprintf(" /%d ", i)) && res.StatusCode == http.StatusOK {
			t.Fatalf("response %d: %q, %v", i, body, err)
		}
		closes = append(closes, res.Close)
	}
	return closes
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// Guards against head-of-line blocking, responses out of order and more than maxAhead
// requests at once.
func TestRunsAheadInOrderWithinBound(t *testing.T) {
	s := startServer(t, true)
	input := get("/0?sleep=300ms")
	for i := 1; i < 20; i++ {
		input += get(fmt.Sprintf("/%d?sleep=%dms", i, 100-i))
	}
	c := s.dial(t, input)
	eventually(t, "not run ahead", func() bool { return len(s.started()) > maxAhead })
	time.Sleep(20 * time.Millisecond)
	if got := s.started(); len(got) > 1+maxAhead && !slices.Contains(s.recorded(), "end /0") {
		t.Errorf("%q run while the first does", got)
	}
	want(t, bufio.NewReader(c), 20)
	if events := s.recorded(); slices.Index(events, "start /17") > slices.Index(events, "end /9") {
		t.Errorf("no further request is run ahead as room is made: %q", events)
	}
}

// Guards against memory that grows with what a caller sends.
func TestHeldBytesAreBounded(t *testing.T) {
	s := startServer(t, true)
	c := &Conn{Conn: &chunkConn{input: []byte(get("/0") + strings.Repeat("a", 1<<20))}, s: s.pipe}
	p := make([]byte, 4096)
	if n, _ := c.Read(p); string(p[:n]) != get("/0") {
		t.Fatalf("%q", p[:n])
	}
	c.enter(frontRequest)
	if n, err := c.Read(p[:1]); n != 1 || err != nil || len(c.held) != maxHeldBytes-1 || cap(c.held) > 2*maxHeldBytes {
		t.Errorf("read %d, %v; %d bytes held, capacity %d", n, err, len(c.held), cap(c.held))
	}
}

// Guards against a request that overtakes one with a body or on a route that is not
// idempotent, or is overtaken by one behind.
func TestUnqualifiedRequestRunsAlone(t *testing.T) {
	for _, middle := range []string{"POST /1 HTTP/1.1\r\nHost: read\r\nContent-Length: 2\r\n\r\nhi", "GET /1 HTTP/1.1\r\nHost: charge\r\n\r\n"} {
		s := startServer(t, true)
		c := s.dial(t, get("/0?sleep=20ms")+middle+get("/2"))
		want(t, bufio.NewReader(c), 3)
		if got := strings.Join(s.recorded()[:5], " "); got != "start /0 end /0 start /1 end /1 start /2" {
			t.Error(got)
		}
	}
}

var date = regexp.MustCompile(`Date: [^\r]*`)

// Guards against request smuggling, and against requests that run though their response is never
// delivered: responses and requests that run must be the same as with net/http alone.
func TestSameAsNetHTTPAlone(t *testing.T) {
	const host = "\r\nHost: read\r\n"
	heads := map[string]string{
		"two lengths":      "GET /1 HTTP/1.1" + host + "Content-Length: 0\r\nContent-Length: 28\r\n\r\n",
		"equal lengths":    "GET /1 HTTP/1.1" + host + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
		"length list":      "GET /1 HTTP/1.1" + host + "Content-Length: 2, 2\r\n\r\nhi",
		"signed length":    "GET /1 HTTP/1.1" + host + "Content-Length: +2\r\n\r\nhi",
		"get with body":    "GET /1 HTTP/1.1" + host + "Content-Length: 20\r\n\r\n" + get("/x")[:20],
		"space in name":    "GET /1 HTTP/1.1" + host + "Content-Length : 20\r\n\r\n",
		"folded":           "GET /1 HTTP/1.1" + host + "A: b\r\n Content-Length: 20\r\n\r\n",
		"chunked":          "POST /1 HTTP/1.1" + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"length + chunked": "POST /1 HTTP/1.1" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"odd chunked":      "POST /1 HTTP/1.1" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"bare LF":          "GET /1 HTTP/1.1\nHost: read\n\n",
		"bare LF in head":  "GET /1 HTTP/1.1\nHost: read\nContent-Length: 2\n\r\nhi",
		"bare CR":          "GET /1 HTTP/1.1" + host + "A: b\rContent-Length: 20\r\n\r\n",
		"CRLF after POST":  "POST /1 HTTP/1.1" + host + "Content-Length: 2\r\n\r\nhi\r\n",
		"leading CRLF":     "\r\n" + get("/1"),
		"no host":          "GET /1 HTTP/1.1\r\n\r\n",
		"two hosts":        "GET /1 HTTP/1.1" + host + "Host: read\r\n\r\n",
		"bad host":         "GET /1 HTTP/1.1\r\nHost: re ad/\r\n\r\n",
		"bad name":         "GET /1 HTTP/1.1" + host + "A(: b\r\n\r\n",
		"bad value":        "GET /1 HTTP/1.1" + host + "A: b\x01\r\n\r\n",
		"bad target":       "GET /%zz HTTP/1.1" + host + "\r\n",
		"absolute target":  "GET http://read/1 HTTP/1.1" + host + "\r\n",
		"malformed":        "GARBAGE\r\n\r\n",
		"HTTP/1.0":         "GET /1 HTTP/1.0" + host + "\r\n",
		"HTTP/1.0 kept":    "GET /1 HTTP/1.0" + host + "Connection: keep-alive\r\n\r\n",
		"HTTP/2 preface":   "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"close":            "GET /1 HTTP/1.1" + host + "Connection: close\r\n\r\n",
		"upgrade":          "GET /1 HTTP/1.1" + host + "Connection: upgrade\r\nUpgrade: x\r\n\r\n",
		"expect":           "GET /1 HTTP/1.1" + host + "Expect: x\r\n\r\n",
		"options":          "OPTIONS * HTTP/1.1" + host + "\r\n",
		"head":             "HEAD /1 HTTP/1.1" + host + "\r\n",
		"handler closes":   get("/1?close"),
		"long":             "GET /1 HTTP/1.1" + host + "A: " + strings.Repeat("a", 30<<10) + "\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			input := get("/0?sleep=30ms") + head + get("/2") + get("/3") + "GET /4 HTTP/1.1\r\nHost: read\r\nConnection: close\r\n\r\n"
			var output [3]string
			var ran [3][]string
			for i := range output {
				s := startServer(t, i > 0)
				split := 0
				if i == 2 { // in two writes, split within the unusual head
					split = len(get("/0?sleep=30ms")) + len(head)/2
				}
				c := s.dial(t, input[:split])
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(c, input[split:])
				_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
				b, _ := io.ReadAll(c)
				output[i], ran[i] = date.ReplaceAllString(string(b), ""), s.started()
			}
			// A response that closes the connection is the last with net/http alone, but
			// is followed by those run ahead here.
			if name == "handler closes" {
				if n := strings.Count(output[1], "HTTP/1.1 200"); n != len(ran[1]) || strings.Count(output[1], "Connection: close") != 1 {
					t.Errorf("%d responses to %q: %q", n, ran[1], output[1])
				}
				return
			}
			for i := 1; i < 3; i++ {
				if output[i] != output[0] || !slices.Equal(ran[i], ran[0]) {
					t.Errorf("%d: ran %q, want %q; got\n%q\nwant\n%q", i, ran[i], ran[0], output[i], output[0])
				}
			}
		})
	}
}

// Guards against handlers that go on for a caller that has gone, also those run ahead
// and those behind a request that is waited for.
func TestDisconnectCancelsAll(t *testing.T) {
	s := startServer(t, true)
	c := s.dial(t, get("/0")+get("/1?sleep=1m")+get("/2?sleep=1m")+get("/3?sleep=1m"))
	want(t, bufio.NewReader(c), 1)
	eventually(t, "not run ahead", func() bool { return len(s.started()) == 4 })
	_ = c.Close()
	eventually(t, "handlers not canceled", func() bool { return s.canceled.Load() == 3 })
	eventually(t, "responses not accounted for", func() bool { return s.pipe.undelivered.Load() == 0 })
}

// Guards against lost responses of run-ahead requests when one in front closes the
// connection or its handler panics, as net/http does on an invalid status.
func TestCloseIsHeldBack(t *testing.T) {
	for _, front := range []string{"/0?sleep=50ms&close", "/0?sleep=50ms&panic", "/0?sleep=50ms&invalid"} {
		s := startServer(t, true)
		c := s.dial(t, get(front)+get("/1?sleep=80ms&invalid")+get("/2?close"))
		br := bufio.NewReader(c)
		closes := want(t, br, 3)
		if !slices.Equal(closes, []bool{false, false, true}) {
			t.Errorf("%s: closing responses: %v", front, closes)
		}
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("%s: not closed: %v", front, err)
		}
	}
}

// Guards against requests that are run ahead while the host stops, and against a
// shutdown that closes a connection before all run-ahead requests have responses.
func TestStopping(t *testing.T) {
	s := startServer(t, true)
	c := s.dial(t, get("/0?sleep=150ms")+get("/1?sleep=200ms")+get("/2"))
	eventually(t, "not run ahead", func() bool { return len(s.started()) == 3 })
	s.stopping.Store(true)
	_, _ = io.WriteString(c, get("/3"))
	down := make(chan error)
	go func() {
		s.pipe.Drain(context.Background())
		down <- s.http.Shutdown(context.Background())
	}()
	br := bufio.NewReader(c)
	if closes := want(t, br, 3); !slices.Equal(closes, []bool{false, false, true}) {
		t.Errorf("closing responses: %v", closes)
	}
	if b, err := io.ReadAll(br); len(b) > 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("%q, %v after the last response", b, err)
	}
	if err := <-down; err != nil || len(s.started()) != 3 {
		t.Errorf("%v; started %q", err, s.started())
	}
}

// Guards against memory that grows with what a caller doesn't read.
func TestSlowReaderIsBounded(t *testing.T) {
	s := startServer(t, true)
	var input string
	const requests = 100 // 30 MB, more than the kernel buffers
	for i := range requests {
		input += get(fmt.Sprintf("/%d?big", i))
	}
	br := bufio.NewReader(s.dial(t, input))
	eventually(t, "no response waits", func() bool { return waiting.Load() > 0 })
	time.Sleep(200 * time.Millisecond)
	if n, started := waiting.Load(), len(s.started()); n > maxWaitingBytes/(300<<10)+1 || started >= requests {
		t.Errorf("%d responses of 300 KB wait, %d requests started", n, started)
	}
	want(t, br, requests)
}
