package ratelimit

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkAllocatorTake is the planner's cost of one request to an upstream with a
// limit, without the call that carries it.
func BenchmarkAllocatorTake(b *testing.B) {
	a, ids := NewAllocator(), make([]string, 256)
	for i := range ids {
		ids[i] = fmt.Sprint("upstream-", i)
	}
	for i := 0; b.Loop(); i++ {
		a.Take(ids[i%len(ids)], 5, 1, time.Now())
	}
}

// BenchmarkLimiterClosed is a host's cost of each request whose upstream has been
// found closed.
func BenchmarkLimiterClosed(b *testing.B) {
	l := NewLimiter(reportedBounds, func(context.Context, string, float64, int) (Permit, error) { return Permit{Wait: time.Hour}, nil })
	for b.Loop() {
		l.Take(b.Context(), "u", 5)
	}
}
