package dispatch

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/view"
)

// setCompeting makes both services competing and contended: browse.example is a less urgent route to
// plain, browse-keyed.example one to keyed.
func (h *harness) setCompeting() {
	h.addLessUrgentRoutes()
	h.contend()
}

// addLessUrgentRoutes makes both services competing. They are contended once they get requests of both
// classes.
func (h *harness) addLessUrgentRoutes() {
	h.views.Publish(func(v *view.View) {
		routes := []*desired.Route{v.Desired.Match("read.example", "/"), v.Desired.Match("charge.example", "/"), v.Desired.Match("keyed.example", "/")}
		for i, host := range []string{"browse.example", "browse-keyed.example"} {
			browse := *routes[2*i]
			browse.Name, browse.Host, browse.Priority, browse.LatencyObjective = host, host, 2, 10*testObjective
			routes = append(routes, &browse)
		}
		v.Desired = desired.New(8, routes, v.Desired.Services, v.Desired.Limits)
	})
}

// Guards against refusing a caller after one rejection by an owner with room, and against repeating it
// at an owner that is full, cold or asks for a backoff, or where no services compete.
func TestKeyedRequestIsRepeatedAfterRejectionWithRoom(t *testing.T) {
	for _, c := range []struct {
		name      string
		competing bool
		cold      bool
		headers   []string
		rejected  int64
		status    int
		sent      int64
	}{
		{"free slots", true, false, []string{"X-Load: 4,0,6,100"}, 1, http.StatusOK, 2},
		{"short queue", true, false, []string{"X-Load: 6,2,6,100"}, 1, http.StatusOK, 2},
		{"rejected again", true, false, []string{"X-Load: 4,0,6,100"}, 9, http.StatusServiceUnavailable, 2},
		{"full", true, false, []string{"X-Load: 6,24,6,100"}, 9, http.StatusServiceUnavailable, 1},
		{"no report", true, false, nil, 1, http.StatusOK, 2},
		{"no report, late responses", true, false, nil, 9, http.StatusServiceUnavailable, 1},
		{"malformed report", true, false, []string{"X-Load: 4,0"}, 1, http.StatusOK, 2},
		{"cold", true, true, []string{"X-Load: 4,0,6,100"}, 9, http.StatusServiceUnavailable, 1},
		{"backoff", true, false, []string{"X-Load: 4,0,6,100", "Retry-After: 3"}, 9, http.StatusServiceUnavailable, 1},
		{"not competing", false, false, []string{"X-Load: 4,0,6,100"}, 9, http.StatusServiceUnavailable, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startUpstream(t, func(w io.Writer, conn net.Conn, r *http.Request, n int64) bool {
				if n <= c.rejected {
					return writeResponse(w, r, http.StatusServiceUnavailable, "", append(c.headers, "X-Not-Run: 1")...)
				}
				return echo(w, conn, r, n)
			})
			u := newUpstream("k1", "keyed", f)
			if c.cold {
				u.SlowUntil = time.Now().Add(time.Minute)
			}
			h := newHarness(t, u)
			h.setOwner("k1", 1)
			if c.competing {
				h.setCompeting()
			}
			if strings.HasSuffix(c.name, "late responses") {
				limits := admission.LimitRange{MaxLimit: 10, MinLimit: 1}
				for range 10 {
					h.d.picker.Limiter("k1").Acquire(t.Context(), 0, limits).Done(admission.NoSignal, 0)
					h.d.picker.Limiter("k1").Acquire(t.Context(), 0, limits).Done(admission.Late, testObjective)
				}
			}
			h.get("keyed.example", "r").want(t, c.status, "")
			if got := f.requestCount.Load(); got != c.sent {
				t.Errorf("%d requests reached the owner, want %d", got, c.sent)
			}
		})
	}
}

// The send path must tell the picker the class of each response of a competing service and its
// load report; without either, hosts would estimate all classes alike.
func TestPickerLearnsClassesFromResponses(t *testing.T) {
	f := startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, _ int64) bool {
		if r.Host == "browse.example" {
			time.Sleep(60 * time.Millisecond)
		}
		return writeResponse(w, r, http.StatusOK, "", "X-Load: 6,0,6,100")
	})
	u := newUpstream("u1", "plain", f)
	h := newHarness(t, u)
	h.setCompeting()
	read := desired.Class{Service: "plain", Objective: testObjective}
	browse := desired.Class{Service: "plain", Priority: 2, Objective: 10 * testObjective}
	for range 8 {
		h.get("browse.example", "b").want(t, http.StatusOK, "")
		h.get("read.example", "r").want(t, http.StatusOK, "")
	}
	queueing, short, known := h.d.picker.Estimate(u, read, time.Now())
	_, long, longKnown := h.d.picker.Estimate(u, browse, time.Now())
	if !known || !longKnown || long < 2*short {
		t.Errorf("expected work times %v and %v", short, long)
	}
	if queueing == 0 {
		t.Error("the load report does not count")
	}
	h.d.picker.FlushLoadStats()
	h.get("charge.example", "c").want(t, http.StatusOK, "")
	if stats := h.d.picker.FlushLoadStats(); len(stats) != 1 || stats[0].AnsweredWork == 0 || stats[0].WorkInFlight != 0 {
		t.Errorf("load statistics %+v", stats)
	}
}

// Guards against requests that time out at an owner which stopped responding instead of being refused
// at once, also while a competing service is not contended, against never trying it again, and against
// refusals where no classes compete.
func TestSilentOwnerGetsNoFurtherRequests(t *testing.T) {
	for _, c := range []struct{ competing, contended bool }{{true, true}, {true, false}, {false, false}} {
		var silent atomic.Bool
		release := make(chan struct{})
		f := startUpstream(t, func(w io.Writer, c net.Conn, r *http.Request, n int64) bool {
			if silent.Load() {
				<-release
			}
			return echo(w, c, r, n)
		})
		h := newHarness(t, newUpstream("k1", "keyed", f))
		if h.setOwner("k1", 1); c.competing {
			h.addLessUrgentRoutes()
		}
		if c.contended {
			h.contend()
		}
		for range 6 {
			h.get("keyed.example", "r").want(t, http.StatusOK, "")
		}
		silent.Store(true)
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() { h.get("keyed.example", "lost") })
		}
		for f.requestCount.Load() < 8 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(testObjective / 4)
		if c.competing {
			h.get("keyed.example", "r").want(t, http.StatusServiceUnavailable, string(CauseOverloaded)+"\n")
		} else {
			calls.Go(func() { h.get("keyed.example", "sent") })
			for f.requestCount.Load() < 9 {
				time.Sleep(time.Millisecond)
			}
		}
		silent.Store(false)
		close(release)
		calls.Wait()
		h.get("keyed.example", "r").want(t, http.StatusOK, "")
	}
}

// Guards against requests being sent to an owner that other hosts know to be silent, against refusing
// those that have time left, and against refusals after the owner has responded to this host.
func TestNoticedSilentOwnerGetsOnlyRequestsWithTime(t *testing.T) {
	h := newHarness(t, newUpstream("k1", "keyed", startUpstream(t, echo)))
	h.setOwner("k1", 1)
	h.setCompeting()
	h.d.picker.SetSilenceNotices([]balance.SilenceNotice{{ID: "k1", For: 2 * testObjective, Left: time.Minute}}, time.Now())
	h.get("keyed.example", "r").want(t, http.StatusServiceUnavailable, string(CauseOverloaded)+"\n")
	h.get("browse-keyed.example", "b").want(t, http.StatusOK, "")
	h.get("keyed.example", "r").want(t, http.StatusOK, "")
}
