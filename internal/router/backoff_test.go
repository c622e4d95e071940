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

// A target that responds 503 "not run" with Retry-After must get no requests for that
// time. Callers are refused at once, with the remaining backoff as Retry-After.
func TestTargetBackoffIsHonoured(t *testing.T) {
	const backoff = 2 * time.Second
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
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
	send := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/sheets/k", nil))
		return w
	}
	for range 20 {
		if w := send(); w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "2" {
			t.Fatalf("got %d, Retry-After %q: %s", w.Code, w.Header().Get("Retry-After"), w.Body)
		}
	}
	if n := received.Load(); n != 1 {
		t.Errorf("%d requests reached the target during its backoff of %v, want 1", n, backoff)
	}
	time.Sleep(backoff)
	if send(); received.Load() != 2 {
		t.Errorf("%d requests reached the target after its backoff, want 2", received.Load())
	}
}
