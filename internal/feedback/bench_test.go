package feedback

import (
	"net/http"
	"testing"
	"time"
)

// BenchmarkAnswer measures decoding and recording a response without a report, and
// the two look-ups for an upstream selection.
func BenchmarkAnswer(b *testing.B) {
	t, h := NewTracker(), http.Header{"Content-Length": {"5"}, "X-Id": {"7"}, "X-Signature": {"s"}}
	now := time.Now()
	for b.Loop() {
		t.Record("u", Decode(testHeaders, http.StatusOK, h), now, now)
		t.Backoff("u", now)
		t.RateLimit("u")
	}
}
