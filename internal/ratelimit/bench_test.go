package ratelimit

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkAllocatorTake measures the planner's cost per permit request, without the
// call that carries it.
func BenchmarkAllocatorTake(b *testing.B) {
	a, ids := NewAllocator(), make([]string, 256)
	for i := range ids {
		ids[i] = fmt.Sprint("upstream-", i)
	}
	for i := 0; b.Loop(); i++ {
		a.Take(ids[i%len(ids)], 5, 1, time.Now())
	}
}

// BenchmarkLimiterClosed measures a host's cost per request while the limiter is closed:
// the planner issues no permit for the upstream, so all requests to it are denied.
func BenchmarkLimiterClosed(b *testing.B) {
	l := NewLimiter(reportedBounds, func(context.Context, string, float64, int) (PermitReply, error) {
		return PermitReply{Wait: time.Hour}, nil
	})
	for b.Loop() {
		l.Take(b.Context(), "u", 5)
	}
}
