package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/crashes"
)

// startCrashingUpstreams starts n upstreams. Each crashes, that is closes its port
// and the connection, when it receives a request whose ID begins with "fatal".
func startCrashingUpstreams(t *testing.T, n int) (ups []*catalogue.Upstream, fakes []*fakeUpstream) {
	t.Helper()
	for i := range n {
		var f *fakeUpstream
		f = startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, number int64) bool {
			if len(r.Header.Get("X-Id")) > 4 && r.Header.Get("X-Id")[:5] == "fatal" {
				_ = f.ln.Close()
				return false
			}
			return echo(w, c, r, number)
		})
		fakes = append(fakes, f)
		ups = append(ups, newUpstream(fmt.Sprint("u", i), "plain", f))
	}
	return ups, fakes
}

// unusedUpstreams returns the upstreams that have not received a request.
func unusedUpstreams(ups []*catalogue.Upstream, fakes []*fakeUpstream) (out []*catalogue.Upstream) {
	for i, f := range fakes {
		if f.requestCount.Load() == 0 {
			out = append(out, ups[i])
		}
	}
	return out
}

// totalRequests returns the number of requests that all fakes received.
func totalRequests(fakes []*fakeUpstream) int64 {
	n := int64(0)
	for _, f := range fakes {
		n += f.requestCount.Load()
	}
	return n
}

// A request crashes each upstream that runs it, and its caller retries it after each
// 502. After crashes.RefusalThreshold crashes the request must be refused at once as
// not run, with a Retry-After header, and must reach no further upstream.
func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	ups, fakes := startCrashingUpstreams(t, 5)
	h := newHarness(t, ups...)
	for i := range crashes.RefusalThreshold {
		h.postFatal(i).want(t, 502, "")
	}
	if n := totalRequests(fakes); n != crashes.RefusalThreshold {
		t.Fatalf("%d sends for %d requests", n, crashes.RefusalThreshold)
	}
	for i := range 10 {
		start := time.Now()
		resp := h.postFatal(i)
		resp.want(t, 503, string(CauseCrashes)+"\n")
		if took := time.Since(start); took > testObjective/4 || resp.header.Get("Retry-After") == "" {
			t.Errorf("refused after %v, Retry-After %q", took, resp.header.Get("Retry-After"))
		}
	}
	if n := totalRequests(fakes); n != crashes.RefusalThreshold {
		t.Errorf("sent %d more times after the threshold", n-crashes.RefusalThreshold)
	}
	h.setUpstreams(unusedUpstreams(ups, fakes)...)
	h.post("charge.example", "another").want(t, 200, "answer to another")
}

// postFatal posts the same crashing request, under an ID that depends on i.
func (h *harness) postFatal(i int) response {
	return h.call(context.Background(), "POST", "charge.example", fmt.Sprint("fatal-", i), "the same booking")
}

// An idempotent request has crashed two upstreams, one of them through the host's own
// retry. When it crashes a third, the host must not retry it, although it retries
// other idempotent requests after a broken send: the retry would crash a fourth.
func TestNoRetryAfterLastAllowedCrash(t *testing.T) {
	ups, fakes := startCrashingUpstreams(t, 5)
	h := newHarness(t, ups...)
	h.get("read.example", "fatal-1").want(t, 502, "")
	if n := totalRequests(fakes); n != 2 {
		t.Fatalf("the first request was sent %d times, want 2", n)
	}
	h.get("read.example", "fatal-2").want(t, 502, "")
	if n := totalRequests(fakes); n != crashes.RefusalThreshold {
		t.Errorf("sent %d times, want %d", n, crashes.RefusalThreshold)
	}
	h.get("read.example", "fatal-3").want(t, 503, string(CauseCrashes)+"\n")
}

// Connections repeatedly close without a response while the upstream keeps listening.
// These broken sends must not count as crashes, and no request may be refused because
// of them.
func TestBrokenSendsOfRunningUpstreamsAreNotCrashes(t *testing.T) {
	f := startUpstream(t, func(_ io.Writer, _ net.Conn, _ *http.Request, _ int64) bool { return false })
	h := newHarness(t, newUpstream("u1", "plain", f))
	for i := range 3 * crashes.RefusalThreshold {
		h.post("charge.example", fmt.Sprint("r", i)).want(t, 502, "")
	}
	if h.d.crashes.HasCrashes() {
		t.Error("crashes are counted although no upstream has crashed")
	}
}

// A load balancer in front of a crashed upstream still accepts connections and closes
// them, so the port does not show the crash. The crash must be detected when the
// upstream's entry is removed from the log.
func TestCrashBehindLoadBalancerIsDetectedByRemovedEntry(t *testing.T) {
	f := startUpstream(t, func(_ io.Writer, _ net.Conn, _ *http.Request, _ int64) bool { return false })
	h := newHarness(t)
	for i := range crashes.RefusalThreshold {
		u := newUpstream(fmt.Sprint("u", i), "plain", f)
		h.setUpstreams(u)
		h.postFatal(i).want(t, 502, "")
		h.d.Prune()
		unlisted := *u
		unlisted.Leaving, unlisted.Unlisted = true, true
		h.setUpstreams(&unlisted)
		h.d.Prune()
	}
	h.setUpstreams(newUpstream("u9", "plain", f))
	h.postFatal(9).want(t, 503, string(CauseCrashes)+"\n")
}

// After a broken send at an upstream whose port is open, the upstream counts as
// crashed if within crashDetectionTimeout it is Unlisted because its entry was removed, or
// its ID is missing because a later incarnation, whose ID differs, replaced its entry
// ("replaced"). It does not if it leaves as planned ("leaving"), stays listed ("on"), or
// is missing only after crashDetectionTimeout ("on later gone").
func TestUpstreamsThatStayOrLeaveHaveNotCrashed(t *testing.T) {
	now := time.Now()
	var sends unresolvedBrokenSendList
	for _, id := range []string{"on", "leaving", "unlisted", "replaced", "on later gone"} {
		sends.add(crashes.Crash{Fingerprint: "c", Server: id, At: now})
	}
	resolveAfter := func(after time.Duration, ups ...*catalogue.Upstream) (crashed []string) {
		all := map[string]*catalogue.Upstream{}
		for _, u := range ups {
			all[u.ID] = u
		}
		for _, send := range sends.resolve(catalogue.NewSnapshot(all), now.Add(after)) {
			crashed = append(crashed, send.Server)
		}
		return crashed
	}
	on := &catalogue.Upstream{ID: "on"}
	got := resolveAfter(time.Second, on, &catalogue.Upstream{ID: "on later gone"}, &catalogue.Upstream{ID: "leaving", Leaving: true},
		&catalogue.Upstream{ID: "unlisted", Leaving: true, Unlisted: true})
	if !slices.Equal(got, []string{"unlisted", "replaced"}) {
		t.Errorf("crashed: %v", got)
	}
	if got = resolveAfter(crashDetectionTimeout, on, &catalogue.Upstream{ID: "on later gone"}); got != nil {
		t.Errorf("crashed: %v", got)
	}
	if got = resolveAfter(crashDetectionTimeout+time.Second, on, &catalogue.Upstream{ID: "on later gone"}); got != nil {
		t.Errorf("crashed: %v", got)
	}
	if got = resolveAfter(crashDetectionTimeout + 2*time.Second); got != nil {
		t.Errorf("crashed after crashDetectionTimeout: %v", got)
	}
}

// Upstreams crash for other reasons while they run a harmless request. After every two
// crashes the request is served, which resets its count. It must never be refused,
// although more than crashes.RefusalThreshold upstreams crash in total while they run it.
func TestServedRequestIsNotRefused(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f))
	fingerprint := crashes.Request{Method: "GET", Host: "read.example", URI: "/a//b?q=%2f", Key: -1}.Fingerprint()
	for i := range 3 * crashes.RefusalThreshold {
		h.d.crashes.RecordCrash(crashes.Crash{Fingerprint: fingerprint, Server: fmt.Sprint("s", i), At: time.Now()})
		if i%2 == 1 {
			h.get("read.example", fmt.Sprint("r", i)).want(t, 200, "")
		}
	}
}

// An upload crashes each upstream that runs it. Its caller alternates between a stated
// length and chunked encoding, which must not change the fingerprint. The upload must be
// refused after crashes.RefusalThreshold crashes, both when it is buffered and when it is
// streamed and identified by its first bytes. An upload with another beginning must be served.
func TestUploadThatCrashesUpstreamsIsRefused(t *testing.T) {
	for _, size := range []int{100, maxBufferedBodyBytes + 1} {
		ups, fakes := startCrashingUpstreams(t, 5)
		h := newHarness(t, ups...)
		upload := func(id, prefix string, chunked bool) response {
			var body io.Reader = strings.NewReader(prefix + string(make([]byte, size)))
			if chunked {
				body = io.MultiReader(body)
			}
			return h.callBody(t.Context(), "POST", "charge.example", id, body)
		}
		for i := range crashes.RefusalThreshold {
			upload(fmt.Sprint("fatal-", i), "x", i%2 == 0).want(t, 502, "")
		}
		upload("fatal-8", "x", true).want(t, 503, string(CauseCrashes)+"\n")
		upload("fatal-9", "x", false).want(t, 503, string(CauseCrashes)+"\n")
		h.setUpstreams(unusedUpstreams(ups, fakes)...)
		upload("other", "y", true).want(t, 200, "answer to other")
		if n := totalRequests(fakes); n != crashes.RefusalThreshold+1 {
			t.Errorf("%d sends of uploads of %d bytes", n, size)
		}
	}
}
