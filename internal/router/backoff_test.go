package router

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/internal/target"
)

// A target that turns requests away and asks for a rest must not get every request
// for its keys all the same; callers are refused at once and told of the rest.
func TestTargetBackoffIsHonoured(t *testing.T) {
	const rest = 2 * time.Second
	var arrived atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set(target.HeaderNotRun, "1")
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	svc := manifest.Service{Name: "sheets", Upstreams: []manifest.Upstream{{Name: "t1", Addr: strings.TrimPrefix(srv.URL, "http://"), DataCentre: "dc",
		Slots: 1, Connections: 4}}}
	assigned := placement.Assign(&svc, []string{"t1"}, 1)
	table := &routing.Table{ViewAt: time.Now(), Services: map[string]*routing.Service{"sheets": {Spec: &svc, Homes: make([]uint8, svc.ShardCount()),
		ByDC: []*placement.Assignment{assigned}}}}
	rt := New(Options{Host: "h", Timeout: time.Second, MaxViewAge: time.Hour, RetryAfter: 100 * time.Millisecond},
		func() *routing.Table { return table }, target.NewClient(), zap.NewNop())
	mux := http.NewServeMux()
	mux.Handle("/{service}/{key...}", rt)
	ask := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/sheets/k", nil))
		return w
	}
	for range 20 {
		if w := ask(); w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "2" {
			t.Fatalf("got %d, Retry-After %q: %s", w.Code, w.Header().Get("Retry-After"), w.Body)
		}
	}
	if n := arrived.Load(); n != 1 {
		t.Errorf("%d requests reached the target within its rest of %v, want 1", n, rest)
	}
	time.Sleep(rest)
	if ask(); arrived.Load() != 2 {
		t.Errorf("%d requests reached the target after its rest, want 2", arrived.Load())
	}
}
