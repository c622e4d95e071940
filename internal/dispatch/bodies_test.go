package dispatch

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/lingering"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
)

// limitBodies gives the host a budget of 128 KB, and bodies of at most largest bytes.
func (h *harness) limitBodies(t *testing.T, largest int64) {
	t.Helper()
	h.d.SetMemory(1)
	h.views.Publish(func(v *view.View) {
		state := *v.Desired
		state.Limits = desired.Limits{BodyBytes: largest}
		v.Desired = &state
	})
	h.front.Close()
	h.front = httptest.NewUnstartedServer(h.d)
	h.front.Listener = lingering.NewListener(h.front.Listener, lingering.DefaultMaxConns) // as on a host
	h.front.Config.ConnContext = WithCaller
	h.front.Start()
	t.Cleanup(h.front.Close)
}

// fillBudget leaves the host room for n bytes of bodies.
func (h *harness) fillBudget(t *testing.T, n int64) {
	t.Helper()
	r := h.d.bodies.host.Reserve()
	if !r.Grow(h.d.bodies.host.Limit() - n) {
		t.Fatal("budget in use")
	}
	t.Cleanup(r.Release)
}

// fillUpstream leaves the upstream room for n bytes of bodies from this host, and has the host count
// as one of a hundred, so that the upstream's budget is two of the largest bodies.
func (h *harness) fillUpstream(t *testing.T, id string, largest, n int64) {
	t.Helper()
	h.d.SetHostCount(100, true)
	if !h.d.bodies.upstreams.Take(id, 2*largest-n, 2*largest) {
		t.Fatal("budget in use")
	}
}

// caller is a caller's connection, on which a test sends a body piece by piece.
type caller struct {
	net.Conn
	br *bufio.Reader
}

// startPost sends the head of a request with a body of length bytes (-1: chunked) and its first part.
func (h *harness) startPost(t *testing.T, host, id string, length int, part string) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", h.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	caller := &caller{c, bufio.NewReader(c)}
	caller.post(t, host, id, length, part)
	return caller
}

func (c *caller) post(t *testing.T, host, id string, length int, part string) {
	t.Helper()
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	if _, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Key: 77\r\nX-Timeout-Ms: 5000\r\n%s\r\n\r\n%s", host, id, framing, part); err != nil {
		t.Fatal(err)
	}
}

// answer reads the response and returns how long it took.
func (c *caller) answer(t *testing.T) (response, time.Duration) {
	t.Helper()
	start := time.Now()
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		t.Fatalf("no response after %v: %v", time.Since(start), err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return response{resp.StatusCode, string(data), resp.Header, err}, time.Since(start)
}

// wantBudgetFree ends the test unless all bytes are given back shortly.
func (h *harness) wantBudgetFree(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		stats := h.d.BodyStats()
		if stats.HostBytes == 0 && stats.UpstreamBytes == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("in use after all requests have ended: %+v", stats)
		}
	}
}

// Neither the host nor the upstream has room for a body. The host must refuse the request before the body arrives, with a status
// which guarantees that the request has not run, and must not read a long rest of the body.
func TestBodyWithoutRoomIsRefusedBeforeItIsRead(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.limitBodies(t, 200<<10)
	h.fillBudget(t, 1000)
	h.fillUpstream(t, "u1", 200<<10, 1000)
	c := h.startPost(t, "charge.example", "r1", 100<<10, "")
	resp, took := c.answer(t)
	resp.want(t, http.StatusServiceUnavailable, string(CauseUpstreamBodies)+"\n")
	if resp.header.Get("Retry-After") == "" || resp.header.Get("Connection") != "close" || took > testObjective {
		t.Errorf("headers %v after %v", resp.header, took)
	}
	c = h.startPost(t, "charge.example", "r2", 32<<10, strings.Repeat("x", 32<<10))
	resp, _ = c.answer(t)
	resp.want(t, http.StatusServiceUnavailable, "")
	if resp.header.Get("Connection") == "close" {
		t.Error("the connection was closed instead of reading 32 KB")
	}
	c.post(t, "charge.example", "r3", 900, strings.Repeat("x", 900))
	resp, _ = c.answer(t)
	resp.want(t, http.StatusOK, "answer to r3")
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("%d requests sent", n)
	}
}

// Bodies of stated and of unknown length reserve what they hold while they are in flight, and give
// it back after any end of the request. A leak would have the host refuse all bodies in the end.
func TestBodiesReserveWhatTheyHold(t *testing.T) {
	release := make(chan struct{})
	f := startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, n int64) bool {
		<-release
		return echo(w, c, r, n)
	})
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.limitBodies(t, 200<<10)
	body := strings.Repeat("x", 20<<10)
	done := make(chan response, 2)
	go func() { done <- h.callBody(t.Context(), "POST", "charge.example", "r1", strings.NewReader(body)) }()
	go func() {
		done <- h.callBody(t.Context(), "POST", "charge.example", "r2", io.MultiReader(strings.NewReader(body)))
	}()
	for range 2 {
		if r := <-f.received; r.Body == nil {
			t.Fatal("no body")
		}
	}
	if stats := h.d.BodyStats(); stats.HostBytes != 20<<10+32<<10 || stats.UpstreamBytes != 40<<10 {
		t.Errorf("in use: %+v", stats)
	}
	close(release)
	for range 2 {
		(<-done).want(t, 200, "")
	}
	h.wantBudgetFree(t)
	_ = h.startPost(t, "charge.example", "r3", 1000, "part").Close()
	h.startPost(t, "nowhere.example", "r4", 1000, "part")
	h.wantBudgetFree(t)
}

// Guards against bodies without a bound where operators expect none: they count at the host, and at upstreams
// only where the desired state states a largest body that may not fit.
func TestBodiesCountWhereNoLargeOnesAreExpected(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f))
	for i, largest := range []int64{0, 1000} {
		h.limitBodies(t, largest)
		h.fillBudget(t, 0)
		h.fillUpstream(t, "u1", max(largest, 1), 0)
		h.post("charge.example", "r1").want(t, 200, "")
		if n := h.d.BodyStats().Streamed; n != int64(i+1) {
			t.Errorf("%d bodies of at most %d bytes streamed, want %d", n, largest, i+1)
		}
	}
	h.limitBodies(t, 200<<10)
	h.fillBudget(t, 0)
	h.post("charge.example", "r2").want(t, 200, "")
	if n := h.d.BodyStats().Streamed; n != 3 {
		t.Errorf("%d bodies streamed, want 3", n)
	}
	h.fillUpstream(t, "u1", 200<<10, 0)
	h.post("charge.example", "r3").want(t, 503, "")
}

// The host's budget has no room, but the upstream's has. The body must reach the upstream whole,
// whether its length is stated or not and wherever in it the room ends.
func TestBodyWithoutRoomAtTheHostIsStreamed(t *testing.T) {
	f := startUpstream(t, func(w io.Writer, _ net.Conn, r *http.Request, _ int64) bool {
		data, _ := io.ReadAll(r.Body)
		return writeResponse(w, r, 200, fmt.Sprintf("%x", sha256.Sum256(data)))
	})
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.limitBodies(t, 400<<10)
	h.fillBudget(t, 50<<10)
	want := int64(0)
	for _, size := range []int{1, 20 << 10, 60 << 10, 100 << 10, 300 << 10} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * 7 / 3)
		}
		for _, chunked := range []bool{false, true} {
			var r io.Reader = bytes.NewReader(body)
			if chunked {
				r = io.MultiReader(r)
			}
			h.callBody(t.Context(), "POST", "charge.example", "r1", r).want(t, 200, fmt.Sprintf("%x", sha256.Sum256(body)))
			if size > 50<<10 {
				want++
			}
			if n := h.d.BodyStats().Streamed; n != want {
				t.Errorf("%d bytes, chunked %v: %d bodies streamed, want %d", size, chunked, n, want)
			}
		}
	}
}

// Once a request has crashed an upstream, fingerprints are needed before requests are sent. A body
// without room must then be refused: sent unchecked, it could be the one that crashes upstreams.
func TestBodyWithoutRoomIsNotStreamedAfterACrash(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f))
	h.limitBodies(t, 200<<10)
	h.fillBudget(t, 0)
	h.d.crashes.RecordCrash(crashes.Crash{Fingerprint: "other", Server: "u9", At: time.Now()})
	h.post("charge.example", "r1").want(t, 503, string(CauseNoBodyRoom)+"\n")
	h.callBody(t.Context(), "POST", "charge.example", "r2", io.MultiReader(strings.NewReader("x"))).want(t, 503, string(CauseNoBodyRoom)+"\n")
	if n := f.requestCount.Load(); n != 0 {
		t.Errorf("%d requests sent", n)
	}
}

// The fingerprint of a body that is streamed for lack of room must be the same for the same body,
// however it arrives, and must not depend on how much has been read: that of a beginning could be the
// fingerprint of another request, which would be refused in place of the one that crashes upstreams.
func TestFingerprintOfABodyThatIsNotKept(t *testing.T) {
	fingerprint := func(id, head, rest string, read int64) crashes.Fingerprint {
		req := &request{key: -1, outbound: &upstream.Request{ID: id}, body: &limitedBody{reader: &callerBody{source: strings.NewReader(rest), left: -1}}}
		req.body.reader.startDigest([]byte(head))
		early := req.fingerprint()
		_, _ = io.CopyN(io.Discard, req.body.reader, read)
		complete := req.body.reader.hasEnded() || read >= streamFingerprintBytes
		if complete == (req.fingerprint() == early) {
			t.Errorf("%d bytes of %q read: the fingerprint must change once the beginning is complete", read, id)
		}
		return req.fingerprint()
	}
	long := strings.Repeat("x", streamFingerprintBytes)
	for _, same := range []bool{
		fingerprint("1", "", "abc", 9) == fingerprint("2", "ab", "c", 9),
		fingerprint("1", "", long+"a", 1<<20) == fingerprint("2", "x", long, 1<<20),
		fingerprint("1", "", "abc", 9) != fingerprint("2", "", "abd", 9),
		fingerprint("1", "", long, 5) != fingerprint("2", "", long, 5),
		fingerprint("1", "", long, 5) != fingerprint("2", "", "xxxxx", 9),
	} {
		if !same {
			t.Error("fingerprints differ for one content, or are equal for two")
		}
	}
}

// An upstream without room for a body must not get it. An unkeyed request must go to another one; a
// keyed one, and one for which no upstream has room, must be refused as not run.
func TestFullUpstreamGetsNoFurtherBody(t *testing.T) {
	f, other, owner := startUpstream(t, echo), startUpstream(t, echo), startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f), newUpstream("u2", "plain", other), newUpstream("u3", "keyed", owner))
	h.setOwner("u3", 1)
	h.limitBodies(t, 200<<10)
	for _, id := range []string{"u1", "u3"} {
		h.fillUpstream(t, id, 200<<10, 3)
	}
	for i := range 6 {
		h.post("charge.example", fmt.Sprint("r", i)).want(t, 200, "")
	}
	h.post("keyed.example", "r7").want(t, 503, string(CauseUpstreamBodies)+"\n")
	h.get("keyed.example", "r8").want(t, 200, "") // has no body
	h.fillUpstream(t, "u2", 200<<10, 3)
	h.post("charge.example", "r9").want(t, 503, string(CauseUpstreamBodies)+"\n")
	if f.requestCount.Load() != 0 || other.requestCount.Load() != 6 || owner.requestCount.Load() != 1 {
		t.Errorf("sent %d, %d and %d", f.requestCount.Load(), other.requestCount.Load(), owner.requestCount.Load())
	}
}
