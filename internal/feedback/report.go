package feedback

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/papayatide/papayatide/internal/protocol"
)

// Report is the state that an upstream reports in the headers of one response.
type Report struct {
	// RateLimit is the upstream's limit for all hosts together, in requests per
	// second; 0 if the response has none.
	RateLimit float64
	// RateLimitMalformed is set if a rate limit header has a malformed value.
	RateLimitMalformed bool
	// Leaving is set if the upstream is about to shut down and wants no new
	// requests.
	Leaving bool
	// Backoff is how long this host must not send requests to the upstream; 0 if the
	// response has no Retry-After.
	Backoff time.Duration
	// Load is the upstream's current load; the zero value if the response has no valid one.
	Load Load
}

const (
	// minRateLimit, in requests per second, replaces lower limits: an upstream that
	// receives no requests could never report the end of its limit.
	minRateLimit = 0.1
	// maxRateLimit, in requests per second, replaces higher limits.
	maxRateLimit = 1e6
	// maxBackoff bounds the backoff that an upstream may request.
	maxBackoff = time.Hour
)

// Decode parses the report in a response's headers. It ignores malformed values
// and, for repeated headers, uses the most restrictive value. Retry-After counts
// only in 503 responses.
func Decode(names protocol.Headers, status int, h http.Header) Report {
	var r Report
	for _, v := range h.Values(names.RateLimit) {
		limit, ok := parseNonNegative(v)
		if !ok {
			r.RateLimitMalformed = true
			continue
		}
		limit = min(max(limit, minRateLimit), maxRateLimit)
		if r.RateLimit == 0 || limit < r.RateLimit {
			r.RateLimit = limit
		}
	}
	for _, v := range h.Values(names.Leaving) {
		r.Leaving = r.Leaving || strings.TrimSpace(v) == "1"
	}
	if values := h.Values(names.Load); len(values) == 1 {
		r.Load = decodeLoad(values[0])
	}
	if status != http.StatusServiceUnavailable {
		return r
	}
	for _, v := range h.Values("Retry-After") {
		if seconds, ok := parseNonNegative(v); ok {
			backoff := time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
			r.Backoff = max(r.Backoff, backoff)
		}
	}
	return r
}

// parseNonNegative parses a finite number that is not negative.
func parseNonNegative(v string) (float64, bool) {
	x, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	return x, err == nil && x >= 0 && !math.IsInf(x, 0)
}
