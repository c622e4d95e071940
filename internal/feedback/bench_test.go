package feedback

import (
	"net/http"
	"testing"
	"time"
)

// BenchmarkAnswer is what each answer and each choice cost of an upstream that
// reports nothing.
func BenchmarkAnswer(b *testing.B) {
	t, h := NewTracker(), http.Header{"Content-Length": {"5"}, "X-Id": {"7"}, "X-Signature": {"s"}}
	now := time.Now()
	for b.Loop() {
		t.Record("u", Decode(testHeaders, http.StatusOK, h), now, now)
		t.Backoff("u", now)
		t.RateLimit("u")
	}
}
