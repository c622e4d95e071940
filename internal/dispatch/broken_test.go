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

// startCrashingUpstreams returns n upstreams, each of which ends as it begins to run a request
// whose ID begins with "fatal".
func startCrashingUpstreams(t *testing.T, n int) (ups []*catalogue.Upstream, fakes []*fakeUpstream) {
	t.Helper()
	for i := range n {
		var f *fakeUpstream
		f = startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, m int64) bool {
			if len(r.Header.Get("X-Id")) > 4 && r.Header.Get("X-Id")[:5] == "fatal" {
				_ = f.ln.Close()
				return false
			}
			return echo(w, c, r, m)
		})
		fakes = append(fakes, f)
		ups = append(ups, newUpstream(fmt.Sprint("u", i), "plain", f))
	}
	return ups, fakes
}

// unusedUpstreams returns the upstreams that have not run a request yet.
func unusedUpstreams(ups []*catalogue.Upstream, fakes []*fakeUpstream) (out []*catalogue.Upstream) {
	for i, f := range fakes {
		if f.requestCount.Load() == 0 {
			out = append(out, ups[i])
		}
	}
	return out
}

func totalRequests(fakes []*fakeUpstream) int64 {
	n := int64(0)
	for _, f := range fakes {
		n += f.requestCount.Load()
	}
	return n
}

// A booking ends the server that runs it. Its caller, told that it may have
// run, sends it again; three servers end. From then on it is refused at once
// as not run, with the time after which it is tried again, and reaches none.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	ups, fakes := startCrashingUpstreams(t, 5)
	g := newHarness(t, ups...)
	for i := range crashes.Limit {
		g.postFatal(i).want(t, 502, "")
	}
	if n := totalRequests(fakes); n != crashes.Limit {
		t.Fatalf("%d sends for %d asks", n, crashes.Limit)
	}
	for i := range 10 {
		began := time.Now()
		a := g.postFatal(i)
		a.want(t, 503, string(CauseCrashes)+"\n")
		if took := time.Since(began); took > testObjective/4 || a.header.Get("Retry-After") == "" {
			t.Errorf("refused after %v, to come back after %q", took, a.header.Get("Retry-After"))
		}
	}
	if n := totalRequests(fakes); n != crashes.Limit {
		t.Errorf("sent %d times more", n-crashes.Limit)
	}
	g.setUpstreams(unusedUpstreams(ups, fakes)...)
	g.post("charge.example", "another").want(t, 200, "answer to another")
}

// postFatal asks for one and the same booking under a new ID.
func (g *harness) postFatal(i int) response {
	return g.call(context.Background(), "POST", "charge.example", fmt.Sprint("fatal-", i), "the same booking")
}

// A lookup has ended two servers already. It ends a third, and is not sent
// again at once, as a lookup whose answer broke off is otherwise: the host's
// own repeat would have ended a fourth.
func TestNoRetryAfterLastAllowedCrash(t *testing.T) {
	ups, fakes := startCrashingUpstreams(t, 5)
	g := newHarness(t, ups...)
	g.get("read.example", "fatal-1").want(t, 502, "")
	if n := totalRequests(fakes); n != 2 {
		t.Fatalf("the first lookup was sent %d times", n)
	}
	g.get("read.example", "fatal-2").want(t, 502, "")
	if n := totalRequests(fakes); n != crashes.Limit {
		t.Errorf("sent %d times, want %d", n, crashes.Limit)
	}
	g.get("read.example", "fatal-3").want(t, 503, string(CauseCrashes)+"\n")
}

// Answers break off again and again, but their servers go on: connections are
// reset, or answers are cut short. Nothing is refused for it.
func TestBrokenSendsOfRunningServersAreNotCrashes(t *testing.T) {
	f := startUpstream(t, func(_ io.Writer, _ net.Conn, _ *http.Request, _ int64) bool { return false })
	g := newHarness(t, newUpstream("u1", "plain", f))
	for i := range 3 * crashes.Limit {
		g.post("charge.example", fmt.Sprint("r", i)).want(t, 502, "")
	}
	if g.d.crashes.HasCrashes() {
		t.Error("ends are counted though no server has ended")
	}
}

// A balancer stands before the servers: where one has ended it still takes
// connections, and closes them. That the servers ended shows by their entries,
// which go two seconds later.
func TestCrashBehindLoadBalancerIsDetectedByItsEntry(t *testing.T) {
	f := startUpstream(t, func(_ io.Writer, _ net.Conn, _ *http.Request, _ int64) bool { return false })
	g := newHarness(t)
	for i := range crashes.Limit {
		u := newUpstream(fmt.Sprint("u", i), "plain", f)
		g.setUpstreams(u)
		g.postFatal(i).want(t, 502, "")
		g.d.Prune()
		gone := *u
		gone.Leaving, gone.Unlisted = true, true
		g.setUpstreams(&gone)
		g.d.Prune()
	}
	g.setUpstreams(newUpstream("u9", "plain", f))
	g.postFatal(9).want(t, 503, string(CauseCrashes)+"\n")
}

// Of the upstreams under which a request broke off while they went on to
// listen, those whose entries go, or whose servers have another life, have
// ended; those that leave as planned or are still there after the time in
// which entries go have not.
func TestUpstreamsThatStayOrLeaveHaveNotCrashed(t *testing.T) {
	now := time.Now()
	var s unresolvedSendList
	for _, server := range []string{"on", "leaving", "unlisted", "replaced", "on later gone"} {
		s.add(crashes.Crash{Fingerprint: "c", Server: server, At: now})
	}
	settle := func(after time.Duration, ups ...*catalogue.Upstream) (ended []string) {
		all := map[string]*catalogue.Upstream{}
		for _, u := range ups {
			all[u.ID] = u
		}
		for _, e := range s.resolve(catalogue.NewSnapshot(all), now.Add(after)) {
			ended = append(ended, e.Server)
		}
		return ended
	}
	on := &catalogue.Upstream{ID: "on"}
	got := settle(time.Second, on, &catalogue.Upstream{ID: "on later gone"}, &catalogue.Upstream{ID: "leaving", Leaving: true},
		&catalogue.Upstream{ID: "unlisted", Leaving: true, Unlisted: true})
	if !slices.Equal(got, []string{"unlisted", "replaced"}) {
		t.Errorf("ended: %v", got)
	}
	if got = settle(entryExpiry, on, &catalogue.Upstream{ID: "on later gone"}); got != nil {
		t.Errorf("ended: %v", got)
	}
	if got = settle(entryExpiry+time.Second, on, &catalogue.Upstream{ID: "on later gone"}); got != nil {
		t.Errorf("ended: %v", got)
	}
	if got = settle(entryExpiry + 2*time.Second); got != nil {
		t.Errorf("ended after the time in which entries go: %v", got)
	}
}

// Two servers end while they run a page that is harmless; then it is answered.
// Two more end under it later, and it is served still.
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	f := startUpstream(t, echo)
	g := newHarness(t, newUpstream("u1", "plain", f))
	page := crashes.Request{Method: "GET", Host: "read.example", URI: "/a//b?q=%2f", Key: -1}.Fingerprint()
	for i := range 3 * crashes.Limit {
		g.d.crashes.RecordCrash(crashes.Crash{Fingerprint: page, Server: fmt.Sprint("s", i), At: time.Now()})
		if i%2 == 1 {
			g.get("read.example", fmt.Sprint("r", i)).want(t, 200, "")
		}
	}
}

// One upload ends its servers. Its caller sends it with its length one time and
// in chunks the next. It is refused after three ends either way, whether it is
// small, or streamed and told by its beginning; another upload is not.
func TestUploadThatCrashesServersIsRefused(t *testing.T) {
	for _, size := range []int{100, maxBufferedBodyBytes + 1} {
		ups, fakes := startCrashingUpstreams(t, 5)
		g := newHarness(t, ups...)
		upload := func(id, begin string, chunked bool) response {
			var body io.Reader = strings.NewReader(begin + string(make([]byte, size)))
			if chunked {
				body = io.MultiReader(body)
			}
			return g.callBody(t.Context(), "POST", "charge.example", id, body)
		}
		for i := range crashes.Limit {
			upload(fmt.Sprint("fatal-", i), "x", i%2 == 0).want(t, 502, "")
		}
		upload("fatal-8", "x", true).want(t, 503, string(CauseCrashes)+"\n")
		upload("fatal-9", "x", false).want(t, 503, string(CauseCrashes)+"\n")
		g.setUpstreams(unusedUpstreams(ups, fakes)...)
		upload("other", "y", true).want(t, 200, "answer to other")
		if n := totalRequests(fakes); n != crashes.Limit+1 {
			t.Errorf("%d sends of %d bytes", n, size)
		}
	}
}
