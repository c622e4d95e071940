package feedback

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/protocol"
)

var testHeaders = protocol.Headers{RateLimit: "X-Limit", Leaving: "X-Leaving"}

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
		{"backoff with another status", 429, http.Header{"Retry-After": {"3"}}, Report{}},
	} {
		if got := Decode(testHeaders, c.status, c.header); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// FuzzDecode checks that no header value yields a report outside the bounds.
func FuzzDecode(f *testing.F) {
	f.Add("1.6", "1", "3")
	f.Add("-0", "true", "NaN")
	f.Add("0x1p-1074", "", "1e309")
	f.Fuzz(func(t *testing.T, limit, leaving, retryAfter string) {
		r := Decode(testHeaders, http.StatusServiceUnavailable, http.Header{"X-Limit": {limit}, "X-Leaving": {leaving}, "Retry-After": {retryAfter}})
		if r.RateLimit != 0 && (r.RateLimit < minRateLimit || r.RateLimit > maxRateLimit || math.IsNaN(r.RateLimit)) {
			t.Errorf("rate limit %q: got %v", limit, r.RateLimit)
		}
		if r.Backoff < 0 || r.Backoff > maxBackoff {
			t.Errorf("Retry-After %q: backoff %v", retryAfter, r.Backoff)
		}
	})
}
