package feedback

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/protocol"
)

var testHeaders = protocol.Headers{RateLimit: "X-Limit", Leaving: "X-Leaving", Load: "X-Load"}

// TestDecode checks that malformed, repeated and out-of-range header values neither
// stop all requests to an upstream nor lift a limit or backoff that it requests.
func TestDecode(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		header http.Header
		want   Report
	}{
		{"nothing", 200, http.Header{}, Report{}},
		{"limit", 200, http.Header{"X-Limit": {"1.6"}}, Report{RateLimit: 1.6}},
		{"limit with spaces", 200, http.Header{"X-Limit": {" 2 "}}, Report{RateLimit: 2}},
		{"limit of zero", 200, http.Header{"X-Limit": {"0"}}, Report{RateLimit: minRateLimit}},
		{"huge limit", 200, http.Header{"X-Limit": {"1e300"}}, Report{RateLimit: maxRateLimit}},
		{"negative limit", 200, http.Header{"X-Limit": {"-1"}}, Report{RateLimitMalformed: true}},
		{"infinite limit", 200, http.Header{"X-Limit": {"Inf"}}, Report{RateLimitMalformed: true}},
		{"limit that is not a number", 200, http.Header{"X-Limit": {"few"}}, Report{RateLimitMalformed: true}},
		{"repeated limit", 200, http.Header{"X-Limit": {"3", "2", "x"}}, Report{RateLimit: 2, RateLimitMalformed: true}},
		{"leaving", 404, http.Header{"X-Leaving": {"1"}}, Report{Leaving: true}},
		{"not leaving", 200, http.Header{"X-Leaving": {"0"}}, Report{}},
		{"backoff", 503, http.Header{"Retry-After": {"3"}}, Report{Backoff: 3 * time.Second}},
		{"fractional backoff", 503, http.Header{"Retry-After": {"0.25"}}, Report{Backoff: 250 * time.Millisecond}},
		{"repeated backoff", 503, http.Header{"Retry-After": {"1", "2"}}, Report{Backoff: 2 * time.Second}},
		{"backoff over the maximum", 503, http.Header{"Retry-After": {"86400"}}, Report{Backoff: maxBackoff}},
		{"backoff as a date", 503, http.Header{"Retry-After": {"Thu, 03 Dec 2026 08:00:00 GMT"}}, Report{}},
		{"negative backoff", 503, http.Header{"Retry-After": {"-3"}}, Report{}},
		{"load", 200, http.Header{"X-Load": {"3, 0,6,100"}}, Report{Load: Load{Running: 3, Slots: 6, WorkFactor: 1}}},
		{"load with further figures", 503, http.Header{"X-Load": {"6,24,6,300,x"}}, Report{Load: Load{Running: 6, Waiting: 24, Slots: 6, WorkFactor: 3}}},
		{"load with an extreme factor", 200, http.Header{"X-Load": {"6,0,6,1e9"}}, Report{Load: Load{Running: 6, Slots: 6, WorkFactor: maxWorkFactor}}},
		{"load without slots", 200, http.Header{"X-Load": {"6,24,0,100"}}, Report{}},
		{"load with a negative count", 200, http.Header{"X-Load": {"-1,24,6,100"}}, Report{}},
		{"load with too few figures", 200, http.Header{"X-Load": {"6,24,6"}}, Report{}},
		{"load with a factor that is not a number", 200, http.Header{"X-Load": {"6,24,6,NaN"}}, Report{}},
		{"load with a huge count", 200, http.Header{"X-Load": {"6,99999999999999999999,6,100"}}, Report{}},
		{"repeated load", 200, http.Header{"X-Load": {"1,0,6,100", "2,0,6,100"}}, Report{}},
		{"backoff with another status", 429, http.Header{"Retry-After": {"3"}}, Report{}},
	} {
		if got := Decode(testHeaders, c.status, c.header); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// FuzzDecode checks that no header value yields a report outside the bounds.
func FuzzDecode(f *testing.F) {
	f.Add("1.6", "1", "3", "1,2,6,100")
	f.Add("-0", "true", "NaN", "1,2,6,NaN")
	f.Add("0x1p-1074", "", "1e309", "1,2,0,-1,")
	f.Fuzz(func(t *testing.T, limit, leaving, retryAfter, load string) {
		r := Decode(testHeaders, http.StatusServiceUnavailable, http.Header{"X-Limit": {limit}, "X-Leaving": {leaving}, "Retry-After": {retryAfter}, "X-Load": {load}})
		if r.RateLimit != 0 && (r.RateLimit < minRateLimit || r.RateLimit > maxRateLimit || math.IsNaN(r.RateLimit)) {
			t.Errorf("rate limit %q: got %v", limit, r.RateLimit)
		}
		if r.Backoff < 0 || r.Backoff > maxBackoff {
			t.Errorf("Retry-After %q: backoff %v", retryAfter, r.Backoff)
		}
		if l := r.Load; l != (Load{}) && (l.Slots < 1 || min(l.Running, l.Waiting) < 0 || max(l.Running, l.Waiting, l.Slots) > maxLoadCount || !(l.WorkFactor >= minWorkFactor && l.WorkFactor <= maxWorkFactor)) {
			t.Errorf("load %q: got %+v", load, l)
		}
	})
}
