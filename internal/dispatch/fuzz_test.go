package dispatch

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/ratelimit"
	"github.com/papayatide/papayatide/internal/view"
)

// parseRequest must refuse any input of a caller or return a request of an existing
// route with a key in range; it must not panic.
func FuzzRequest(f *testing.F) {
	f.Add("GET", "keyed.example", "/a", "77", "500", "Close, X-Id", []byte("body"))
	f.Add("POST", "charge.example:80", "/%2f//..", "-1", "99999999999999999999", ",", []byte{})
	f.Add("GET", "", "*", "65536", "x", "Connection", []byte{0})
	d := New(testHeaders, "dc1", view.NewPublisher(), nil, nil, nil, nil, nil, ratelimit.NewLimiter(ratelimit.Bounds{}, nil))
	route := &desired.Route{Name: "r", Host: "keyed.example", Prefix: "/", Timeout: testTimeout, LatencyObjective: testObjective, MaxAttempts: 1,
		Shares: []desired.Share{{Service: "keyed", Weight: 1}}}
	d.views.Publish(func(v *view.View) {
		v.Desired = desired.New(1, []*desired.Route{route}, map[string]*desired.Service{"keyed": {Name: "keyed", Keyed: true}}, desired.Limits{})
	})
	f.Fuzz(func(t *testing.T, method, host, path, key, timeout, connection string, body []byte) {
		r, err := http.NewRequest(method, "http://x/", bytes.NewReader(body))
		if err != nil {
			return
		}
		r.Host, r.RequestURI, r.URL.Path = host, path, path
		r.Header.Set("X-Key", key)
		r.Header.Set("X-Timeout-Ms", timeout)
		r.Header.Set("Connection", connection)
		req, refusal := d.parseRequest(r, testArrival)
		if refusal != nil {
			refusal.write(httptest.NewRecorder(), testHeaders.RequestID, "id")
			return
		}
		if req.key < 0 || req.key >= ownership.KeySpaceSize || req.route != route || req.deadline.After(testArrival.Add(testTimeout)) {
			t.Errorf("parsed as %+v", req)
		}
	})
}

var testArrival = time.Unix(1000, 0)
