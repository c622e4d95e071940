package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/upstream"
)

// cutOff has the host lose its paths to all upstreams.
func (d *Dispatcher) cutOff(t testing.TB) {
	d.Paths.Probe = func(context.Context, *catalogue.Upstream) error { return syscall.ECONNREFUSED }
	if !d.Paths.Explains(context.Background(), "", true) {
		t.Fatal("setup: the host is not cut off")
	}
}

// newPartitionedHarness returns a harness that is cut off and whose helper is the other one.
func newPartitionedHarness(t *testing.T, helper *harness) *harness {
	t.Helper()
	far := &catalogue.Upstream{ID: "x", Service: "plain", Addr: "127.0.0.1:1", DataCentre: "dc1", Slots: 3}
	other := *far
	other.ID = "y"
	h := newHarness(t, far, &other)
	h.setOwner("x", 1)
	h.d.SetHelperClient("h", upstream.NewClient(testHeaders))
	peers := httptest.NewUnstartedServer(http.HandlerFunc(helper.d.ServeForwarded))
	peers.Config.ConnContext = WithCaller
	peers.Start()
	t.Cleanup(peers.Close)
	h.d.SetHelpers([]string{peers.Listener.Addr().String()})
	h.d.cutOff(t)
	return h
}

// Guards against a caller who gets another's or an incomplete response, or whose request arrives
// changed, when another host serves it.
func TestHelperServesRequestsUnchanged(t *testing.T) {
	up := startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, n int64) bool {
		body, _ := io.ReadAll(r.Body)
		return writeResponse(w, r, 200, fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", len(body), " ", r.Header.Get(forwardedByHeader)))
	})
	helper := newHarness(t, newUpstream("u", "plain", up), newUpstream("u2", "plain", up))
	h := newPartitionedHarness(t, helper)
	for _, size := range []int{10, maxBufferedBodyBytes + 1000} {
		resp := h.call(context.Background(), "POST", "charge.example", fmt.Sprint("r", size), strings.Repeat("b", size))
		resp.want(t, 200, fmt.Sprint("POST /a//b?q=%2f charge.example ", size, " "))
		if resp.header.Get("X-Signature") != "sig" || resp.header.Get(forwardedByHeader) != "" || resp.header.Get("X-Id") != fmt.Sprint("r", size) {
			t.Errorf("headers %v", resp.header)
		}
	}
	if s := h.summaries[0]; s.Via == "" || s.Attempts != 1 || helper.summaries[0].ForwardedBy != "h" {
		t.Errorf("summaries %+v, %+v", s, helper.summaries[0])
	}
}

// Guards against requests that go round among hosts that are cut off, and against a promise to the
// caller that is lost on the way.
func TestHelperThatIsCutOffPassesNothingOn(t *testing.T) {
	helper := newHarness(t)
	h := newPartitionedHarness(t, helper)
	h2 := newPartitionedHarness(t, h)
	resp := h2.post("charge.example", "r1")
	resp.want(t, 503, string(CauseCutOff)+"\n")
	if resp.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if len(helper.summaries) > 0 {
		t.Error("the request went two hops")
	}
	resp = h.post("charge.example", "r2")
	resp.want(t, 503, string(CauseNoUpstream)+"\n") // the helper's own refusal
	if resp.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

// Guards against work at an upstream for a caller that has disconnected from the first host.
func TestUpstreamStopsWhenTheCallerOfAnotherHostLeaves(t *testing.T) {
	ended := make(chan struct{}, 1)
	up := startUpstream(t, func(_ io.Writer, c net.Conn, _ *http.Request, _ int64) bool {
		_, _ = c.Read(make([]byte, 1))
		ended <- struct{}{}
		return false
	})
	h := newPartitionedHarness(t, newHarness(t, newUpstream("u", "plain", up)))
	ctx, leave := context.WithCancel(context.Background())
	go func() { <-up.received; leave() }()
	h.call(ctx, "GET", "read.example", "r1", "")
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the upstream still works on the request half a second after the caller left")
	}
}

// Guards against crashes of upstreams and fingerprints that a host records because its own paths failed.
func TestLostPathsAreNoCrashes(t *testing.T) {
	h := newPartitionedHarness(t, newHarness(t))
	h.d.SetHelpers(nil)
	h.get("keyed.example", "r1").want(t, 503, "")
	h.get("read.example", "r2").want(t, 503, "")
	if n := h.d.feedback.Notices(time.Now()); len(n) > 0 || h.d.crashes.HasCrashes() || h.d.picker.IsEjected("x", time.Now()) {
		t.Errorf("notices %v, crashes %v", n, h.d.crashes.HasCrashes())
	}
}

// hopScript is what happens to a request on its way to the helper.
type hopScript int

const (
	hopArrives hopScript = iota
	hopRefused
	// hopBreaksBefore and hopBreaksAfter break the connection before and after the helper has served it.
	hopBreaksBefore
	hopBreaksAfter
	hopScripts
)

// serveThroughHop sends the request to a host that is cut off, whose attempts to reach the helper go as
// scripted, and returns the status of the response.
func (s *scriptedRequest) serveThroughHop(t testing.TB, hops []hopScript) int {
	next := 0
	script := func() hopScript {
		s.mu.Lock()
		defer s.mu.Unlock()
		next++
		if next > len(hops) {
			return hopArrives
		}
		return hops[next-1]
	}
	var current atomic.Int64 // hopScript
	helper := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hopScript(current.Load()) == hopBreaksBefore {
			panic(http.ErrAbortHandler)
		}
		rec := httptest.NewRecorder()
		s.d.ServeForwarded(rec, r.WithContext(s))
		if hopScript(current.Load()) == hopBreaksAfter {
			panic(http.ErrAbortHandler)
		}
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	front := newScriptedRequest(s.idempotent, false, nil)
	client := upstream.NewClient(testHeaders)
	client.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
		hop := script()
		current.Store(int64(hop))
		if hop == hopRefused {
			return nil, syscall.ECONNREFUSED
		}
		return (&net.Dialer{}).DialContext(ctx, network, helper.Listener.Addr().String())
	}
	front.d.SetHelperClient("h", client)
	front.d.SetHelpers([]string{"a:1", "b:1", "c:1", "d:1"})
	front.d.cutOff(t)
	front.bodyBytes = s.bodyBytes
	status := front.serveHTTP()
	helper.Close() // waits until it has served what it received
	s.d.client.Prune(time.Now(), func(string) bool { return false })
	s.serves.Wait()
	return status
}

// Guards against a request that runs twice over two hosts, and against "not run" for one that may have.
func TestNotRunStatusIsProvenThroughAHelper(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 250
	p := gopter.NewProperties(params)
	p.Property("a refusal that guarantees \"not run\" is true", prop.ForAll(func(idempotent, keyed, streamed bool, steps, hops []int) string {
		scripts, names := make([]attemptScript, len(steps)), []string{}
		for i, n := range steps {
			scripts[i] = attemptScripts[n]
			names = append(names, scripts[i].name)
		}
		s := newScriptedRequest(idempotent, keyed, scripts)
		if streamed {
			s.bodyBytes = maxBufferedBodyBytes + 20<<10
		}
		var hopList []hopScript
		for _, n := range hops {
			hopList = append(hopList, hopScript(n))
		}
		status := s.serveThroughHop(t, hopList)
		ran, guaranteed := s.mayRun.Load(), slices.Contains(notRunStatuses, status)
		if guaranteed && ran > 0 || (!idempotent || streamed) && ran > 1 {
			return fmt.Sprintf("%s, hops %v: status %d, %d attempts may have run", strings.Join(names, ", "), hops, status, ran)
		}
		return ""
	}, gen.Bool(), gen.Bool(), gen.Bool(), gen.SliceOfN(4, gen.IntRange(0, len(attemptScripts)-1)), gen.SliceOfN(3, gen.IntRange(0, int(hopScripts)-1))))
	p.TestingRun(t)
}
