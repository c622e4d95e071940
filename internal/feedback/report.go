package feedback

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/papayatide/papayatide/internal/protocol"
)

// Report is what one answer says of its upstream.
type Report struct {
	// RateLimit is the number of requests a second that the upstream takes from
	// all hosts together; 0 if the answer names none.
	RateLimit float64
	// LimitUnreadable is set if a limit is named that is not a usable number.
	LimitUnreadable bool
	// Leaving is set if the upstream will end soon and wants no new work.
	Leaving bool
	// Backoff is for how long it wants no requests from this host; 0 if the answer
	// does not say.
	Backoff time.Duration
}

const (
	// minRateLimit (requests a second) replaces lower limits. An upstream that gets
	// nothing at all could never report that its limit has ended.
	minRateLimit = 0.1
	// maxRateLimit (requests a second) replaces higher limits.
	maxRateLimit = 1e6
	// maxBackoff bounds a rest that an upstream asks for.
	maxBackoff = time.Hour
)

// Decode reads the report in an answer's headers. Values that are malformed are
// passed over; of repeated ones the most cautious counts.
func Decode(names protocol.Headers, status int, h http.Header) Report {
	var r Report
	for _, v := range h.Values(names.RateLimit) {
		limit, ok := parseNonNegative(v)
		if !ok {
			r.LimitUnreadable = true
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
	if status != http.StatusServiceUnavailable {
		return r
	}
	for _, v := range h.Values("Retry-After") {
		if seconds, ok := parseNonNegative(v); ok {
			rest := time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
			r.Backoff = max(r.Backoff, rest)
		}
	}
	return r
}

// parseNonNegative parses a finite decimal number of 0 or more.
func parseNonNegative(v string) (float64, bool) {
	x, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	return x, err == nil && x >= 0 && !math.IsInf(x, 0)
}
