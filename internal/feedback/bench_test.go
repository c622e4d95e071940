package feedback

import (
	"net/http"
	"testing"
	"time"
)

// BenchmarkAnswer measures the cost per response and per upstream selection if
// the upstream reports nothing.
func BenchmarkAnswer(b *testing.B) {
	t, h := NewTracker(), http.Header{"Content-Length": {"5"}, "X-Id": {"7"}, "X-Signature": {"s"}}
	now := time.Now()
	for b.Loop() {
		t.Record("u", Decode(testHeaders, http.StatusOK, h), now, now)
		t.Backoff("u", now)
		t.RateLimit("u")
	}
}
