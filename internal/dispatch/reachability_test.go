package dispatch

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
)

// Guards against losing two requests, each after its whole timeout, at every upstream of a data centre
// that is cut off, and against refusals where no services compete.
func TestRequestsForAnUnreachableDataCentreAreRefusedAtOnce(t *testing.T) {
	for _, competing := range []bool{true, false} {
		h := newHarness(t)
		routes := []*desired.Route{{Name: "r", Host: "h", Prefix: "/", Shares: []desired.Share{{Service: "s", Weight: 1}}}}
		if competing {
			routes = append(routes, &desired.Route{Name: "r2", Host: "h2", Prefix: "/", Priority: 1, Shares: []desired.Share{{Service: "s", Weight: 1}}})
		}
		state := desired.New(1, routes, map[string]*desired.Service{"s": {Name: "s"}}, desired.Limits{})
		h.views.Publish(func(v *view.View) { v.Desired = state })
		now := time.Now()
		req := &request{route: &desired.Route{LatencyObjective: testObjective}}
		far := &catalogue.Upstream{ID: "u", DataCentre: "far"}
		h.d.startSend(req, far, now.Add(-3*time.Second))(&upstream.Result{Outcome: upstream.Answered, Status: http.StatusOK})
		for i := range 3 {
			h.d.startSend(req, &catalogue.Upstream{ID: fmt.Sprint("u", i), DataCentre: "far"}, now.Add(-2*time.Second))
		}
		if got := h.d.reachable(far, now.Add(time.Second)); got == competing {
			t.Errorf("competing %v: the data centre counts as reachable: %v", competing, got)
		}
		if !h.d.reachable(&catalogue.Upstream{ID: "near", DataCentre: h.d.localDataCentre}, now.Add(time.Second)) {
			t.Error("a host's own data centre must always count as reachable")
		}
	}
}
